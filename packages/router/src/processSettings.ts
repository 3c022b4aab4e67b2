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
  id: idSchema,
  failureDomain: idSchema,
  drainSeconds: createNumberSchema(1, 3_600).default(30),
});

const operationsSchema = z
  .strictObject({
    timelineEvents: createNumberSchema(0, 1_000_000)
      .default(eventRingCapacity)
      .describe('Events that the time line of this process keeps; 0 for none'),
    ledgerRecords: createNumberSchema(0, 1_000_000)
      .default(defaultLedgerRecords)
      .describe('Outcome records that this process keeps; 0 for none'),
    ledgerMinutes: createNumberSchema(1, 10_080)
      .default(defaultLedgerMinutes)
      .describe('Minutes for which an outcome record is kept'),
    ledgerLines: z
      .enum(['on', 'off'], { error: 'write "on" or "off"' })
      .default('on')
      .describe('Whether each outcome record is written to the log as a line'),
    metrics: z
      .enum(['on', 'off'], { error: 'write "on" or "off"' })
      .default('on')
      .describe('Whether this process counts for its metrics page'),
  })
  .prefault({});
export type OperationsSettings = z.output<typeof operationsSchema>;

const platformSchema = z.strictObject({ log: urlSchema, vmList: urlSchema });

/** Schema of an entry's settings file. */
export const entrySettingsSchema = z.strictObject({
  process: processSchema,
  listen: z.strictObject({
    callers: addressSchema,
    operators: addressSchema,
    peers: addressSchema.optional(),
  }),
  platform: platformSchema,
  config: z
    .strictObject({
      /** Seconds after which a snapshot is appended; well under the log's retention. */
      snapshotSeconds: createNumberSchema(1, 86_400).default(600),
      /** Records after which a snapshot is appended. */
      snapshotRecords: createNumberSchema(1, 100_000).default(200),
    })
    .prefault({}),
  operations: operationsSchema,
  limits: z
    .strictObject({
      maxBodyBytes: createNumberSchema(1_024, 64 * 1_024 * 1_024).default(
        1_048_576,
      ),
      /** Backend servers that an entry keeps connections to. */
      maxServers: createNumberSchema(1, 10_000).default(128),
    })
    .prefault({}),
});
export type EntryFileSettings = z.output<typeof entrySettingsSchema>;

/** Schema of an agent's settings file. */
export const agentSettingsSchema = z.strictObject({
  process: processSchema,
  listen: z.strictObject({ peers: addressSchema, operators: addressSchema }),
  platform: platformSchema.optional(),
  operations: operationsSchema,
  entries: z
    .strictObject({
      /** Addresses where entries take announcements, with commas between them. */
      known: addressListSchema.default([]),
    })
    .prefault({}),
  backend: z
    .strictObject({
      server: idSchema,
      url: urlSchema,
      kind: z.enum(ServiceKind, { error: 'write "model" or "plain"' }),
      service: idSchema,
      layerFrom: createNumberSchema(0, 10_000).default(0),
      layerTo: createNumberSchema(0, 10_000).default(0),
      slots: createNumberSchema(1, 10_000).default(16),
      silenceSeconds: createNumberSchema(1, 3_600).default(10),
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
