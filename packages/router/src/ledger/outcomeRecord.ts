/** The outcome record of one request, the basis of invoices. */
import type { ErrorKind, Milliseconds } from '@lycheetally/common';
import { Outcome } from '@lycheetally/decisions';
import { z } from 'zod';

/** How one request ended, with the fields that an invoice line needs. */
export interface OutcomeRecord {
  /** Position in the ledger of its process, counted from 1. */
  readonly sequence: number;
  readonly requestId: string;
  /** The caller's own id of the request; empty when it sent none. */
  readonly callerRequestId: string;
  /** Empty when the bearer key belongs to no client account. */
  readonly account: string;
  /** Empty when the request was refused before its rank was known. */
  readonly rank: string;
  readonly service: string;
  readonly outcome: Outcome;
  /** Kind of the error that the caller was told; empty when complete. */
  readonly errorKind: ErrorKind | '';
  /** Prompt tokens as the last agent counted them; 0 when the work did not end. */
  readonly tokensIn: number;
  /** Tokens that were sent to the caller. */
  readonly tokensOut: number;
  readonly attempts: number;
  /** Backend servers of the last attempt, first stage first. */
  readonly servers: readonly string[];
  readonly receivedAt: Milliseconds;
  /** Absent when no token was sent. */
  readonly firstTokenAt?: Milliseconds | undefined;
  readonly endedAt: Milliseconds;
}

/** A record before the ledger has numbered it. */
export type NewOutcomeRecord = Omit<OutcomeRecord, 'sequence'>;

const outcomeRecordSchema = z.object({
  sequence: z.int(),
  requestId: z.string(),
  callerRequestId: z.string(),
  account: z.string(),
  rank: z.string(),
  service: z.string(),
  outcome: z.enum(Outcome),
  errorKind: z.string() as z.ZodType<ErrorKind | ''>,
  tokensIn: z.int(),
  tokensOut: z.int(),
  attempts: z.int(),
  servers: z.array(z.string()),
  receivedAt: z.number(),
  firstTokenAt: z.number().optional(),
  endedAt: z.number(),
});

/** Schema of a page of the ledger as the operators' port serves it. */
export const ledgerPageSchema = z.object({
  process: z.string(),
  /** Records that matched and are in this page, oldest first. */
  records: z.array(outcomeRecordSchema),
  /** Value of `after` for the next page; absent on the last page. */
  next: z.int().optional(),
  /** Records written by this process since its start. */
  written: z.int(),
  /** Records that are no longer kept. */
  dropped: z.int(),
});

/** A page of the ledger. */
export type LedgerPage = z.output<typeof ledgerPageSchema>;
