/** Schemas of the settings files of entries and agents. */
import {
  addressSchema,
  formatAddress,
  type Address,
} from '@lycheetally/common';
import { ServiceKind } from '@lycheetally/decisions';
import { z } from 'zod';
import {
  defaultLedgerMinutes,
  defaultLedgerRecords,
  eventRingCapacity,
} from './constants.js';

const idSchema = z
  .string()
  .regex(
    /^[A-Za-z0-9._-]{1,64}$/,
    'use 1 to 64 letters, digits, ".", "_" or "-"',
  );

const createNumberSchema = (min: number, max: number): z.ZodType<number> =>
  z.coerce
    .number({ error: 'write a whole number' })
    .int('write a whole number')
    .min(min, `write at least ${String(min)}`)
    .max(max, `write at most ${String(max)}`);

const createSwitchSchema = (
  description: string,
): z.ZodDefault<z.ZodEnum<{ on: 'on'; off: 'off' }>> =>
  z
    .enum(['on', 'off'], { error: 'write "on" or "off"' })
    .default('on')
    .describe(description);

const urlSchema = z
  .string()
  .regex(/^https?:\/\/[^\s/]+$/, 'write http://host:port without a path');

const addressListSchema = z
  .string()
  .transform(text =>
    text
      .split(',')
      .map(each => each.trim())
      .filter(each => each !== ''),
  )
  .pipe(z.array(addressSchema));

const processSchema = z.strictObject({
  id: idSchema.describe('Name of this process; unique in the deployment'),
  failureDomain: idSchema.describe('Failure domain of the VM'),
  drainSeconds: createNumberSchema(1, 3_600)
    .default(30)
    .describe(
      'Seconds that open work may take to finish after a stop is requested',
    ),
});

const nodeOperations = {
  timelineEvents: createNumberSchema(0, 1_000_000)
    .default(eventRingCapacity)
    .describe('Events that this process keeps for the timeline; 0 for none'),
  metrics: createSwitchSchema('Whether this process collects metrics'),
};

const entryOperationsSchema = z
  .strictObject({
    ...nodeOperations,
    ledgerRecords: createNumberSchema(0, 1_000_000)
      .default(defaultLedgerRecords)
      .describe('Outcome records that this process keeps; 0 for none'),
    ledgerMinutes: createNumberSchema(1, 10_080)
      .default(defaultLedgerMinutes)
      .describe('Minutes for which an outcome record is kept'),
    ledgerLines: createSwitchSchema(
      'Whether each outcome record is written to the log as a line',
    ),
  })
  .prefault({});

const agentOperationsSchema = z.strictObject(nodeOperations).prefault({});

/** Settings for timeline, metrics and ledger; an agent has no ledger. */
export type OperationsSettings = Partial<
  z.output<typeof entryOperationsSchema>
>;

const platformSchema = z.strictObject({
  log: urlSchema.describe("Base URL of the platform's log service"),
  vmList: urlSchema.describe("Base URL of the platform's VM list"),
});

const operatorsSchema = addressSchema.describe(
  'Address for operators, as host:port; keep it off the public network',
);

/** How claim records are grouped into appends to the log. */
export const ClaimBatching = {
  /** All waiting records, up to a limit, in one append. */
  Group: 'group',
  /** One record per append, as a baseline for comparison. */
  Single: 'single',
} as const;
export type ClaimBatching = (typeof ClaimBatching)[keyof typeof ClaimBatching];

const claimsSchema = z
  .strictObject({
    streams: createNumberSchema(1, 64)
      .default(2)
      .describe(
        'Number of log streams that idempotency keys are spread over; must be the same at every entry',
      ),
    windowSeconds: createNumberSchema(120, 7 * 24 * 3_600)
      .default(3_600)
      .describe('Seconds for which an idempotency key is remembered'),
    appendGapMs: createNumberSchema(0, 10_000)
      .default(10)
      .describe('Minimum milliseconds between appends to one stream'),
    batching: z
      .enum(ClaimBatching, { error: 'write "group" or "single"' })
      .default(ClaimBatching.Group)
      .describe(
        'Whether claim records are grouped into one append or appended one by one',
      ),
  })
  .prefault({});

/** Schema of an entry's settings file. */
export const entrySettingsSchema = z.strictObject({
  process: processSchema,
  listen: z.strictObject({
    callers: addressSchema.describe('Address for callers, as host:port'),
    operators: operatorsSchema,
    peers: addressSchema
      .optional()
      .describe(
        'Address where agents announce themselves, as host:port; leave out to disable',
      ),
  }),
  platform: platformSchema,
  claims: claimsSchema,
  config: z
    .strictObject({
      snapshotSeconds: createNumberSchema(1, 86_400)
        .default(3_600)
        .describe(
          "Seconds after which a snapshot is appended; keep it well below the log's retention",
        ),
      snapshotRecords: createNumberSchema(1, 100_000)
        .default(200)
        .describe('Records after which a snapshot is appended'),
    })
    .prefault({}),
  operations: entryOperationsSchema,
  limits: z
    .strictObject({
      maxBodyBytes: createNumberSchema(1_024, 64 * 1_024 * 1_024)
        .default(1_048_576)
        .describe('Maximum size of a request body, in bytes'),
      maxServers: createNumberSchema(1, 10_000)
        .default(128)
        .describe(
          'Maximum number of backend servers that an entry connects to',
        ),
    })
    .prefault({}),
});
export type EntryFileSettings = z.output<typeof entrySettingsSchema>;

/** Schema of an agent's settings file. */
export const agentSettingsSchema = z.strictObject({
  process: processSchema,
  listen: z.strictObject({
    peers: addressSchema.describe(
      'Address for entries and other agents, as host:port',
    ),
    operators: operatorsSchema,
  }),
  platform: platformSchema.optional(),
  operations: agentOperationsSchema,
  entries: z
    .strictObject({
      known: addressListSchema
        .default([])
        .describe(
          'Comma-separated addresses where entries accept announcements of agents',
        ),
    })
    .prefault({}),
  backend: z
    .strictObject({
      server: idSchema.describe('Name of the backend server'),
      url: urlSchema.describe('Base URL of the backend server'),
      kind: z
        .enum(ServiceKind, { error: 'write "model" or "plain"' })
        .describe('Model engine or plain service'),
      service: idSchema.describe('Service that the backend server belongs to'),
      layerFrom: createNumberSchema(0, 10_000)
        .default(0)
        .describe('First layer that a model engine holds, counted from 0'),
      layerTo: createNumberSchema(0, 10_000)
        .default(0)
        .describe('One past the last layer that a model engine holds'),
      slots: createNumberSchema(1, 10_000)
        .default(16)
        .describe(
          'Maximum number of attempts that run on the backend server at the same time',
        ),
      silenceSeconds: createNumberSchema(1, 3_600)
        .default(10)
        .describe(
          'Seconds without output from the backend server after which a run counts as failed',
        ),
    })
    .refine(
      backend =>
        backend.kind === ServiceKind.Plain ||
        backend.layerFrom < backend.layerTo,
      { path: ['layerTo'], error: 'write a number above layerFrom' },
    ),
});
export type AgentFileSettings = z.output<typeof agentSettingsSchema>;

/** Formats each address of a process for its ready line. */
export const formatAddresses = (
  addresses: Readonly<Record<string, Address>>,
): Record<string, string> =>
  Object.fromEntries(
    Object.entries(addresses).map(([name, address]) => [
      name,
      formatAddress(address),
    ]),
  );
