/** Encodes the records of the claims streams as JSON, and parses and validates them. */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Result,
} from '@lycheetally/common';
import {
  ClaimRecordKind,
  Outcome,
  type AnyClaimRecord,
} from '@lycheetally/decisions';
import { z } from 'zod';
import { parseJson } from '@lycheetally/node';

const claimShape = {
  key: z.string().min(1),
  claimId: z.string().min(1),
  requestId: z.string().min(1),
  attempt: z.int().min(1),
  bodyHash: z.string().min(1),
  serverId: z.string().min(1),
  incarnation: z.string().min(1),
  at: z.number(),
};

const recordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(ClaimRecordKind.Claim), ...claimShape }),
  z.object({
    kind: z.literal(ClaimRecordKind.Takeover),
    ...claimShape,
    earlier: z.string().min(1),
  }),
  z.object({
    kind: z.literal(ClaimRecordKind.End),
    key: z.string().min(1),
    claimId: z.string().min(1),
    outcome: z.enum([Outcome.Complete, Outcome.NotRun, Outcome.Failed]),
    reason: z.string(),
    answer: z
      .object({
        status: z.int(),
        contentType: z.string(),
        body: z.string(),
      })
      .optional(),
    at: z.number(),
  }),
]);

export const encodeClaimRecord = (record: AnyClaimRecord): string =>
  JSON.stringify(record);

/** Parses a record. Fails with `BadMessage`. */
export const parseClaimRecord = (text: string): Result<AnyClaimRecord> => {
  const parsed = recordSchema.safeParse(parseJson(text));
  if (parsed.success) {
    return Ok(parsed.data);
  }
  return Err(
    new TypedError(
      ErrorKind.BadMessage,
      'a record of a claims stream is not valid',
      'find out what else writes to the stream and stop it',
    ),
  );
};
