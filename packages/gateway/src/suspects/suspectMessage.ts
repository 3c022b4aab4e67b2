/** The messages in which gateways exchange records of suspects: HTTP POST with JSON bodies. */
import { z } from 'zod';
import type { SuspectRecord } from './suspectTracker.js';

/** Path of the messages at the address that gateways announce. */
export const suspectPath = '/parts';

/** Largest message that is read, in bytes. */
export const maxSuspectMessageBytes = 1_024 * 1_024;

/** Records in one message. */
const maxRecords = 512;

/** Crashes in one record. */
const maxSightings = 32;

/** Characters of a name. */
const maxNameLength = 128;

const nameSchema = z.string().min(1).max(maxNameLength);
const ageSchema = z.number().min(0);

const recordSchema = z.object({
  service: nameSchema,
  part: nameSchema,
  sightings: z
    .array(
      z.object({
        crash: nameSchema,
        requestId: nameSchema,
        ageMs: ageSchema,
        sentAgeMs: ageSchema.optional(),
      }),
    )
    .max(maxSightings),
  servedAgeMs: ageSchema.optional(),
  refusedAgeMs: ageSchema.optional(),
});

const recordsSchema = z.array(recordSchema).max(maxRecords);

const messageSchema = z.object({
  digest: z.number().int().optional(),
  records: recordsSchema,
});

const answerSchema = z.object({
  isSame: z.boolean(),
  isLearning: z.boolean().optional(),
  records: recordsSchema,
});

/** What one gateway sends to another. */
export interface SuspectMessage {
  /** Digest of the sender's records, if the receiver is to compare its own with it. */
  readonly digest?: number | undefined;
  readonly records: readonly SuspectRecord[];
}

/** What the other gateway answers: its own records, if they are to be compared and differ. */
export interface SuspectAnswer {
  /** Whether the receiver's records have the same digest. */
  readonly isSame: boolean;
  /** Whether the receiver has just started and may lack records itself. */
  readonly isLearning?: boolean | undefined;
  readonly records: readonly SuspectRecord[];
}

/** Parses a message; returns `undefined` if it is malformed. */
export const parseSuspectMessage = (
  body: unknown,
): SuspectMessage | undefined => messageSchema.safeParse(body).data;

/** Parses an answer; returns `undefined` if it is malformed. */
export const parseSuspectAnswer = (body: unknown): SuspectAnswer | undefined =>
  answerSchema.safeParse(body).data;

/** Keeps the records within the limits of a message; bystanders of few crashes give way to refused suspects. */
export const trimRecords = (
  records: readonly SuspectRecord[],
): readonly SuspectRecord[] =>
  records
    .filter(({ service, part }) => isName(service) && isName(part))
    .sort(compareWeight)
    .slice(0, maxRecords)
    .map(record => ({
      ...record,
      sightings: record.sightings
        .filter(({ crash, requestId }) => isName(crash) && isName(requestId))
        .slice(0, maxSightings),
    }));

const compareWeight = (a: SuspectRecord, b: SuspectRecord): number =>
  Number(b.refusedAgeMs !== undefined) - Number(a.refusedAgeMs !== undefined) ||
  b.sightings.length - a.sightings.length ||
  computeNewestAge(a) - computeNewestAge(b);

const computeNewestAge = ({ sightings }: SuspectRecord): number =>
  Math.min(...sightings.map(({ ageMs }) => ageMs));

const isName = (text: string): boolean =>
  text.length > 0 && text.length <= maxNameLength;
