/** The settings files of entries and agents, and their schemas. */
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
  failureDomain: idSchema.describe('Failure domain that the VM stands in'),
  drainSeconds: createNumberSchema(1, 3_600)
    .default(30)
    .describe('Seconds that open work may take after a stop is asked for'),
});

const nodeOperations = {
  timelineEvents: createNumberSchema(0, 1_000_000)
    .default(eventRingCapacity)
    .describe('Events that the time line of this process keeps; 0 for none'),
  metrics: createSwitchSchema('Whether this process counts for its metrics'),
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

/** What a process keeps for its operators; an agent keeps no ledger. */
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

/** How the records of claims share appends. */
export const ClaimBatching = {
  /** Many records to an append. */
  Group: 'group',
  /** One record to an append, for comparison. */
  Single: 'single',
} as const;
export type ClaimBatching = (typeof ClaimBatching)[keyof typeof ClaimBatching];

const claimsSchema = z
  .strictObject({
    streams: createNumberSchema(1, 64)
      .default(2)
      .describe('Streams that keys are spread over; the same at every entry'),
    windowSeconds: createNumberSchema(120, 7 * 24 * 3_600)
      .default(3_600)
      .describe('Seconds for which a key is remembered'),
    appendGapMs: createNumberSchema(0, 10_000)
      .default(10)
      .describe('The least milliseconds between appends of one stream'),
    batching: z
      .enum(ClaimBatching, { error: 'write "group" or "single"' })
      .default(ClaimBatching.Group)
      .describe('Many records to an append, or one for comparison'),
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
      .describe('Address where agents announce themselves, as host:port'),
  }),
  platform: platformSchema,
  claims: claimsSchema,
  config: z
    .strictObject({
      snapshotSeconds: createNumberSchema(1, 86_400)
        .default(600)
        .describe(
          "Seconds after which a snapshot is appended; well under the log's retention",
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
        .describe('Largest body that a caller may send, in bytes'),
      maxServers: createNumberSchema(1, 10_000)
        .default(128)
        .describe('Backend servers that an entry keeps connections to'),
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
          'Addresses where entries take announcements, with commas between them',
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
        .describe('Pieces of work that run at once'),
      silenceSeconds: createNumberSchema(1, 3_600)
        .default(10)
        .describe('Seconds of silence after which a run counts as failed'),
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
