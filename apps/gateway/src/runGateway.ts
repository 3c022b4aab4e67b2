/** Runs a gateway on the users' platform as a daemon. */
import { watchFile } from 'node:fs';
import {
  BoundedOutput,
  ExitCode,
  LoggerFactory,
  collectOverrides,
  keepRunningWithoutReaders,
  millisecondsPerSecond,
  readSettings,
  writeLastLine,
  type DaemonFlags,
  type Result,
} from '@lycheetally/common';
import { GatewayNode, defaultMemoryMebibytes } from '@lycheetally/gateway';
import {
  createPlatformPorts,
  platformSettingsSchema,
  settingsVariable,
  type PlatformSettings,
} from '@lycheetally/platform';
import { waitForSettings } from './waitForSettings.js';
import { applyVmMemory } from './youngGeneration.js';

/** Poll interval of the settings file, which may change without a SIGHUP. */
const settingsPollMs = 2_000;

const standardOutputDescriptor = 1;

/** Starts a gateway and serves until it is stopped, or only checks its settings. */
export const runGateway = async (flags: DaemonFlags): Promise<void> => {
  // The command line takes precedence over the environment variable.
  const path = flags.settings || (process.env[settingsVariable] ?? '');
  const loadSettings = (): Result<PlatformSettings> => {
    const { env } = process;
    const overrides = collectOverrides(platformSettingsSchema, env, flags.set);
    return readSettings(path, platformSettingsSchema, overrides);
  };
  const settings = flags.isCheck
    ? loadSettings()
    : await waitForSettings(path, loadSettings);
  if (settings.err) {
    failStart(settings.val.message, ExitCode.Usage);
  }
  if (flags.isCheck) {
    process.stdout.write(`${path} is valid\n`);
    return;
  }
  const { limits } = settings.unwrap();
  applyVmMemory(limits?.memoryMb ?? defaultMemoryMebibytes);
  keepRunningWithoutReaders();
  const gateway = createGateway(settings.unwrap());
  listenToSignals(gateway, path, loadSettings);
  const started = await gateway.start();
  if (started.err && !gateway.hasStopped) {
    failStart(started.val.message, ExitCode.AddressHeld);
  }
};

const failStart = (message: string, code: number): never => {
  writeLastLine(message);
  process.exit(code);
};

const createGateway = (settings: PlatformSettings): GatewayNode => {
  const output = new BoundedOutput(standardOutputDescriptor);
  const loggers = new LoggerFactory(settings.process.id, 'info', output);
  const ports = createPlatformPorts(settings);
  const gateway = new GatewayNode(settings, ports, loggers, () => {
    output.end(() => {
      process.exit();
    });
  });
  process.on('uncaughtException', thrown => {
    process.exitCode = ExitCode.Unexpected;
    gateway.stopUnexpectedly(thrown);
    // The loop may not run any more, and then nothing else ends the process.
    const limitMs = settings.process.drainSeconds * millisecondsPerSecond;
    setTimeout(() => {
      process.exit();
    }, limitMs).unref();
  });
  return gateway;
};

const listenToSignals = (
  gateway: GatewayNode,
  path: string,
  loadSettings: () => Result<PlatformSettings>,
): void => {
  const reload = (): void => {
    const changed = loadSettings();
    if (changed.ok) {
      gateway.reload(changed.val);
    } else {
      gateway.noteBadSettings(changed.val.message);
    }
  };
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      gateway.stop();
    });
  }
  process.on('SIGHUP', reload);
  const options = { interval: settingsPollMs, persistent: false };
  watchFile(path, options, reload);
};
