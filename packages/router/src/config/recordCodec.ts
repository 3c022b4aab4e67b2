/** Encodes and decodes records of the log's `config` stream as JSON; zod validates them. */
import { hashText } from '@lycheetally/common';
import {
  ConfigRecordKind,
  computeEdits,
  emptyConfiguration,
  type ConfigChange,
  type ConfigEdits,
  type ConfigRecord,
  type ConfigState,
  type StreamSpan,
  type RouterConfiguration,
} from '@lycheetally/decisions';
import { z } from 'zod';
import { parseJson } from '@lycheetally/node';
import type { LogSpan } from '../ports/platform.js';
import {
  accountSchema,
  configurationSchema,
  failureDomainSchema,
  nameSchema,
  rankSchema,
  serviceSchema,
} from './configurationSchema.js';

/** Name of the log stream that holds the configuration. */
export const configStream = 'config';

/** Longer texts are rejected without being parsed; in characters. */
export const maxConfigRecordLength = 8 * 1_024 * 1_024;

const createEditsSchema = <T extends z.ZodType>(
  item: T,
): z.ZodObject<{
  put: z.ZodArray<T>;
  remove: z.ZodArray<z.ZodString>;
}> => z.strictObject({ put: z.array(item), remove: z.array(nameSchema) });

const idSchema = z.string().min(1).max(128);

const editsSchema = z.strictObject({
  ranks: createEditsSchema(rankSchema),
  accounts: createEditsSchema(accountSchema),
  services: createEditsSchema(serviceSchema),
  failureDomains: createEditsSchema(failureDomainSchema).optional(),
});

const changeSchema = z.strictObject({
  kind: z.literal(ConfigRecordKind.Change),
  id: idSchema,
  lineage: idSchema,
  base: z.int().min(0),
  author: z.string().max(128),
  publishedAt: z.number(),
  edits: editsSchema,
});

const stateSchema = z.strictObject({
  lineage: idSchema,
  through: z.int().min(0),
  throughHash: z.int().optional(),
  changeId: idSchema,
  author: z.string().max(128),
  configuration: configurationSchema,
});

const recordSchema = z.discriminatedUnion('kind', [
  changeSchema,
  z.strictObject({
    kind: z.literal(ConfigRecordKind.Snapshot),
    state: stateSchema,
  }),
]);

/** Encodes a record for the log. */
export const encodeRecord = (record: ConfigRecord): string =>
  JSON.stringify(record);

/** Decodes a record; `undefined` when it is too long or does not match the schema. */
export const decodeRecord = (text: string): ConfigRecord | undefined =>
  text.length > maxConfigRecordLength
    ? undefined
    : recordSchema.safeParse(parseJson(text)).data;

/** Decodes the records of a span that was read from the log. */
export const decodeSpan = (from: number, span: LogSpan): StreamSpan => ({
  from,
  first: span.first,
  next: span.next,
  records: span.records.map(({ offset, value }) => ({
    offset,
    hash: hashText(value),
    record: decodeRecord(value),
  })),
});

/** Decodes the edits of a `ConfigStep` message; `undefined` when they are not valid. */
export const decodeEdits = (text: string): ConfigEdits | undefined =>
  text.length > maxConfigRecordLength
    ? undefined
    : editsSchema.safeParse(parseJson(text)).data;

/** Encodes a state for a `ConfigHandover` message. */
export const encodeState = (state: ConfigState): string =>
  JSON.stringify(state);

/** Decodes a state received from a peer; `undefined` when it is not valid. */
export const decodeState = (text: string): ConfigState | undefined =>
  text.length > maxConfigRecordLength
    ? undefined
    : stateSchema.safeParse(parseJson(text)).data;

/** Metadata of a change. */
export interface ChangeOptions {
  readonly id: string;
  readonly lineage: string;
  readonly author: string;
  readonly publishedAt: number;
}

/** Builds the change that turns one configuration into another. */
export const buildChange = (
  from: RouterConfiguration | undefined,
  to: RouterConfiguration,
  options: ChangeOptions,
): ConfigChange => ({
  kind: ConfigRecordKind.Change,
  ...options,
  base: from?.version ?? 0,
  edits: computeEdits(from ?? emptyConfiguration, to),
});
