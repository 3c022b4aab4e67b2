/**
 * Runs an entry or an agent as a process.
 *
 * A failed start writes one line to standard error and exits with code 2.
 * SIGTERM and SIGINT start a graceful stop; SIGHUP changes nothing. A ready process writes one line of
 * JSON with its addresses to standard output.
 */
import {
  ErrorKind,
  ExitCode,
  LoggerFactory,
  collectOverrides,
  millisecondsPerSecond,
  readSettings,
  toTypedError,
  type Address,
  type DaemonFlags,
  getOrThrow,
} from '@lycheetally/common';
import {
  BudgetedRetry,
  GroupCommit,
  LeastOutstandingRouting,
  RateLimitedAdmission,
  ServiceKind,
  SingleCommit,
  JitteredSnapshots,
  type AppendBatchPolicy,
} from '@lycheetally/decisions';
import type { z } from 'zod';
import { ConnectPeerNetwork } from './adapters/connectPeers.js';
import { HttpEngine } from './adapters/engineHttp.js';
import { HttpPlainService } from './adapters/plainServiceHttp.js';
import { HttpLog, HttpVmList } from './adapters/platformHttp.js';
import { maxClaimBatch } from './constants.js';
import { AgentNode } from './agent/agentNode.js';
import { createSlots } from './agent/createSlots.js';
import { SystemClock } from '@lycheetally/node';
import { EntryNode } from './entry/entryNode.js';
import {
  ClaimBatching,
  agentSettingsSchema,
  entrySettingsSchema,
  formatAddresses,
  type AgentFileSettings,
  type EntryFileSettings,
} from './processSettings.js';
import { type RouterNode } from './routerNode.js';

/** A running node and the addresses that it listens on. */
interface StartedNode {
  readonly node: Pick<
    RouterNode<never>,
    'requestStop' | 'noteHangup' | 'stopped' | 'dispose'
  >;
  readonly addresses: Readonly<Record<string, Address>>;
}

/** Time to flush pending responses after the node has stopped, in milliseconds. */
const exitGraceMs = 200;

/** Starts a node and exits the process when the node has stopped. */
const runDaemon = async (start: () => Promise<StartedNode>): Promise<void> => {
  let started: StartedNode | undefined;
  // Without a handler, a SIGHUP would end the process at once.
  process.on('SIGHUP', () => started?.node.noteHangup());
  try {
    started = await start();
  } catch (thrown) {
    reportStartFailure(thrown);
    return;
  }
  const { node, addresses } = started;
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      node.requestStop(signal);
    });
  }
  node.stopped.subscribe(() => {
    setTimeout(() => {
      node.dispose();
      process.exit(ExitCode.Ok);
    }, exitGraceMs);
  });
  const line = { ready: true, addresses: formatAddresses(addresses) };
  process.stdout.write(`${JSON.stringify(line)}\n`);
};

const reportStartFailure = (thrown: unknown): void => {
  const remedy = 'report this as a bug, with the settings file';
  const error = toTypedError(thrown, ErrorKind.BadSetting, remedy);
  process.stderr.write(`${error.kind}: ${error.message}\n`);
  process.exit(ExitCode.Usage);
};

/** Reads and validates a daemon's settings. Throws `BadSetting`. */
const readDaemonSettings = <T extends z.ZodType>(
  flags: DaemonFlags,
  schema: T,
): z.output<T> => {
  const overrides = collectOverrides(schema, process.env, flags.set);
  return getOrThrow(readSettings(flags.settings, schema, overrides));
};

/** Validates the settings only; an invalid one exits the process like a failed start. */
const checkDaemon = (flags: DaemonFlags, schema: z.ZodType): void => {
  try {
    readDaemonSettings(flags, schema);
    process.stdout.write(`${flags.settings} is valid\n`);
  } catch (thrown) {
    reportStartFailure(thrown);
  }
};

/** Runs an entry with the given settings, or only validates them. */
export const runEntry = async (flags: DaemonFlags): Promise<void> => {
  if (flags.isCheck) {
    checkDaemon(flags, entrySettingsSchema);
    return;
  }
  await runDaemon(async () => {
    const settings = readDaemonSettings(flags, entrySettingsSchema);
    const node = createEntry(settings);
    return { node, addresses: { ...(await node.start(settings.listen)) } };
  });
};

/** Runs an agent with the given settings, or only validates them. */
export const runAgent = async (flags: DaemonFlags): Promise<void> => {
  if (flags.isCheck) {
    checkDaemon(flags, agentSettingsSchema);
    return;
  }
  await runDaemon(async () => {
    const settings = readDaemonSettings(flags, agentSettingsSchema);
    const node = createAgent(settings);
    const { peers, operators } = settings.listen;
    return { node, addresses: { ...(await node.start(peers, operators)) } };
  });
};

const createBatchPolicy = ({ claims }: EntryFileSettings): AppendBatchPolicy =>
  claims.batching === ClaimBatching.Group
    ? new GroupCommit(maxClaimBatch, claims.appendGapMs)
    : new SingleCommit();

/** Creates an entry that uses the real clock, network and platform. */
export const createEntry = (settings: EntryFileSettings): EntryNode =>
  new EntryNode(
    {
      id: settings.process.id,
      failureDomain: settings.process.failureDomain,
      drainTimeoutMs: settings.process.drainSeconds * millisecondsPerSecond,
      maxBodyBytes: settings.limits.maxBodyBytes,
      claims: {
        streams: settings.claims.streams,
        windowMs: settings.claims.windowSeconds * millisecondsPerSecond,
      },
      operations: settings.operations,
      maxServers: settings.limits.maxServers,
    },
    {
      clock: new SystemClock(),
      network: new ConnectPeerNetwork(),
      loggers: new LoggerFactory(settings.process.id),
      log: new HttpLog(settings.platform.log),
      vmList: new HttpVmList(settings.platform.vmList),
      snapshots: new JitteredSnapshots(
        settings.config.snapshotSeconds * millisecondsPerSecond,
        settings.config.snapshotRecords,
      ),
      policies: {
        admission: new RateLimitedAdmission(),
        routing: new LeastOutstandingRouting(),
        retry: new BudgetedRetry(),
      },
      appendBatching: createBatchPolicy(settings),
    },
  );

/** Creates an agent that uses the real clock, network and backend server. */
export const createAgent = (settings: AgentFileSettings): AgentNode => {
  const { backend } = settings;
  const clock = new SystemClock();
  return new AgentNode(
    {
      id: settings.process.id,
      failureDomain: settings.process.failureDomain,
      drainTimeoutMs: settings.process.drainSeconds * millisecondsPerSecond,
      knownEntries: settings.entries.known,
      silenceTimeoutMs: backend.silenceSeconds * millisecondsPerSecond,
      operations: settings.operations,
      backend: {
        serverId: backend.server,
        kind: backend.kind,
        service: backend.service,
        layerFrom: backend.layerFrom,
        layerTo: backend.layerTo,
        slots: backend.slots,
      },
    },
    {
      clock,
      network: new ConnectPeerNetwork(),
      loggers: new LoggerFactory(settings.process.id),
      backend:
        backend.kind === ServiceKind.Model
          ? new HttpEngine(backend.url)
          : new HttpPlainService(backend.url),
      slots: createSlots(backend.slots, clock),
    },
  );
};
