/** The history that a soak records and the violations that its check finds. */
import type { ValueOf } from '@lycheetally/common';

/** Whether a call may be repeated and how it is answered. */
export const SoakKind = {
  /** Must run at most once. */
  Booking: 'book',
  /** May run again. */
  Lookup: 'look',
  /** Returns a stream of events, which may resume at another server. */
  Stream: 'talk',
} as const;
export type SoakKind = ValueOf<typeof SoakKind>;

/** How the server processes of a soak answer. */
export const ServerKind = {
  /** Each answer is whole and framed. */
  Sound: 'sound',
  /** Answers end in many ways, some before their last piece. */
  Breaking: 'breaking',
} as const;
export type ServerKind = ValueOf<typeof ServerKind>;

/** A call as recorded by its caller. */
export interface SoakCall {
  readonly requestId: string;
  readonly kind: SoakKind;
  readonly key: string;
  /** Port of the gateway. */
  readonly port: number;
  readonly body: string;
  /** Events of a stream; for other calls, the event intervals that the answer takes. */
  readonly steps: number;
  /** Milliseconds since the start of the soak. */
  readonly sentAt: number;
  /** When the last byte was handed to the connection; undefined if it never was. */
  readonly bodySentAt: number | undefined;
  readonly endedAt: number;
  /** Response status; 0 when the connection closed without a response. */
  readonly status: number;
  readonly answer: string;
  readonly isComplete: boolean;
  /** Mark of the run whose head the caller got; empty without one. */
  readonly signature: string;
  /** Id of the caller's stream, which it may resume with further calls. */
  readonly streamId: string;
  /** The last event that the caller had when it sent the call; 0 for none. */
  readonly afterEvent: number;
  /** Whether the answer said that its server leaves. */
  readonly saidLeaving: boolean;
}

/** A run of a call as recorded by the server. */
export interface SoakRun {
  readonly requestId: string;
  readonly serverId: string;
  /** What names the run in its head and in each of its events. */
  readonly mark: string;
  readonly kind: SoakKind;
  readonly body: string;
  readonly account: string;
  /** The complete answer that the server intended to send. */
  readonly answer: string;
  readonly isSuccess: boolean;
  /** How the server meant to delimit and end the answer, if that varies. */
  readonly ending?: string | undefined;
}

/** Body of the calls that kill each server that begins to run them. */
export const deadlyBody = 'body of a deadly call';

export const isDeadly = ({ body }: Pick<SoakCall, 'body'>): boolean =>
  body === deadlyBody;

/** A run and when it began, in milliseconds since the start of the soak. */
export interface TimedRun {
  readonly run: SoakRun;
  readonly at: number;
}

/** A time without a server, in milliseconds since the start of the soak. */
export interface ServerOutage {
  readonly at: number;
  backAt: number;
}

/** What deadly calls did to the servers of a soak. */
export interface CrashRecord {
  readonly serverCount: number;
  readonly deadlyRuns: readonly TimedRun[];
  readonly outages: readonly ServerOutage[];
}

/** A stop signal of a gateway. */
export interface SoakStop {
  readonly port: number;
  /** Milliseconds since the start of the soak. */
  readonly at: number;
  /** When the process had exited. */
  readonly exitAt: number;
}

/** A restart or freeze of a gateway. */
export interface SoakReset {
  readonly port: number;
  /** Milliseconds since the start of the soak. */
  readonly at: number;
}

/** The records of all callers and servers. */
export interface SoakHistory {
  readonly calls: readonly SoakCall[];
  readonly runs: readonly SoakRun[];
  /** Account of each key that was ever valid. */
  readonly accounts: ReadonlyMap<string, string>;
  /** Milliseconds since the start by which every gateway must reject a revoked key. */
  readonly revocationDeadlines: ReadonlyMap<string, number>;
  /** Whether planned work was the only disturbance, so that nothing excuses a lost call. */
  readonly isPlannedOnly: boolean;
  /** Whether gateways have a reason to refuse calls only while they stop or start. */
  readonly refusesOnlyAtStops: boolean;
  readonly stops: readonly SoakStop[];
  readonly resets: readonly SoakReset[];
  /** When each server that left was to get no more calls, in milliseconds since the start of the soak. */
  readonly leaveDeadlines: ReadonlyMap<string, number>;
  /** When the gateways had followed the store without a fault for long enough, in milliseconds since the start of the soak. */
  readonly recoveredAt: number;
  /** Time from a stop signal until the platform kills the process, in milliseconds. */
  readonly graceMs: number;
  /** Set if there were deadly calls. */
  readonly crashes?: CrashRecord | undefined;
}

/** A guarantee that was broken, and the call for which it was. */
export interface GuaranteeViolation {
  readonly promise: string;
  readonly requestId: string;
}
