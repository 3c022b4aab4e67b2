/** What a soak of gateway processes records, and what it may find broken. */
import type { ValueOf } from '@lycheetally/common';

/** What a call may do when it is repeated, and how it is answered. */
export const SoakKind = {
  /** Must run once at most. */
  Booking: 'book',
  /** May run again. */
  Lookup: 'look',
  /** Events; may go on at another server. */
  Stream: 'talk',
} as const;
export type SoakKind = ValueOf<typeof SoakKind>;

/** A call as its caller saw it. */
export interface SoakCall {
  readonly requestId: string;
  readonly kind: SoakKind;
  readonly key: string;
  readonly body: string;
  /** Milliseconds since the start of the soak. */
  readonly sentAt: number;
  /** Status of the answer; 0 when the connection closed without one. */
  readonly status: number;
  readonly answer: string;
  readonly isComplete: boolean;
  readonly isSigned: boolean;
}

/** A run of a call as a server saw it. */
export interface SoakRun {
  readonly requestId: string;
  readonly kind: SoakKind;
  readonly body: string;
  readonly account: string;
  /** The whole answer that the server meant to give. */
  readonly answer: string;
  readonly isSuccess: boolean;
}

/** All that callers and servers saw. */
export interface SoakHistory {
  readonly calls: readonly SoakCall[];
  readonly runs: readonly SoakRun[];
  /** Account of each key that was ever valid. */
  readonly accounts: ReadonlyMap<string, string>;
  /** When each key that was taken away had to fail everywhere. */
  readonly revokedAt: ReadonlyMap<string, number>;
}

/** A promise that was broken, and for which call. */
export interface BrokenPromise {
  readonly promise: string;
  readonly requestId: string;
}
