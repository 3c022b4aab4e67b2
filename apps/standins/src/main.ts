/** Runs one stand-in service as a process: `main.js KIND [--option NUMBER]...`. */
import { ExitCode, type Address } from '@lycheetally/common';
import {
  LogServiceStandIn,
  ModelEngineStandIn,
  PlainServiceStandIn,
  VmListStandIn,
} from '@lycheetally/testkit';

interface StandIn {
  listen(address: Address): Promise<string>;
  close(): Promise<void>;
}

const readNumber = (name: string, fallback: number): number => {
  const index = process.argv.indexOf(`--${name}`);
  return index < 0 ? fallback : Number(process.argv[index + 1]);
};

const creators: Readonly<Record<string, () => StandIn>> = {
  log: () => new LogServiceStandIn(),
  'vm-list': () => new VmListStandIn(),
  'plain-service': () => new PlainServiceStandIn(readNumber('workMs', 0)),
  'model-engine': () =>
    new ModelEngineStandIn({
      layerFrom: readNumber('layerFrom', 0),
      layerTo: readNumber('layerTo', 1),
      layers: readNumber('layers', 1),
      stepMs: readNumber('stepMs', 0),
      positionUs: readNumber('positionUs', 0),
    }),
};

const create = creators[process.argv[2] ?? ''];
if (!create) {
  const kinds = Object.keys(creators).join(', ');
  process.stderr.write(
    `usage: main.js KIND [--option NUMBER]..., where KIND is one of ${kinds}\n`,
  );
  process.exit(ExitCode.Usage);
}
const host = '127.0.0.1';
const standIn = create();
const address = await standIn.listen({ host, port: readNumber('port', 0) });
const line = { ready: true, addresses: { http: address } };
process.stdout.write(`${JSON.stringify(line)}\n`);

/** Time that open calls may take to end after SIGTERM, in milliseconds. */
const drainTimeoutMs = 10_000;

process.on('SIGTERM', () => {
  void standIn.close().then(() => process.exit(ExitCode.Ok));
  setTimeout(() => {
    process.stderr.write('[stand-in] The drain timeout is reached\n');
    process.exit(ExitCode.Ok);
  }, drainTimeoutMs);
});
