/** The daemon of a gateway on the users' platform. */
import { watchFile } from 'node:fs';
import {
  BoundedOutput,
  ExitCode,
  LoggerFactory,
  readSettings,
  type Result,
} from '@lycheetally/common';
import { GatewayNode } from '@lycheetally/gateway';
import {
  createPlatformPorts,
  platformSettingsSchema,
  type PlatformSettings,
} from '@lycheetally/platform';

/** The platform puts the path of the settings here. */
const settingsVariable = 'LYCHEETALLY_SETTINGS';

/** Milliseconds between looks at the settings file, which may change without a signal. */
const settingsLookMs = 2_000;

const standardOutput = 1;

const readOwnSettings = (): Result<PlatformSettings> =>
  readSettings(process.env[settingsVariable] ?? '', platformSettingsSchema);

const main = async (): Promise<void> => {
  const settings = readOwnSettings();
  if (settings.err) {
    console.error(settings.val.message);
    process.exit(ExitCode.Usage);
  }
  const output = new BoundedOutput(standardOutput);
  const loggers = new LoggerFactory(settings.val.process.id, 'info', output);
  const gateway = new GatewayNode(
    settings.val,
    createPlatformPorts(settings.val),
    loggers,
    () => {
      output.end(() => process.exit(ExitCode.Ok));
    },
  );
  const reload = (): void => {
    const changed = readOwnSettings();
    if (changed.ok) {
      gateway.reload(changed.val);
    } else {
      console.error(changed.val.message);
    }
  };
  process.on('SIGTERM', () => {
    gateway.stop();
  });
  process.on('SIGINT', () => {
    gateway.stop();
  });
  process.on('SIGHUP', reload);
  watchFile(
    process.env[settingsVariable] ?? '',
    { interval: settingsLookMs, persistent: false },
    reload,
  );
  const started = await gateway.start();
  if (started.err) {
    console.error(String(started.val));
    process.exit(ExitCode.Failure);
  }
};

await main();
