/**
 * Merges the events of all processes into one causal order.
 *
 * Every frame carries a timestamp of a hybrid logical clock, so an event has a
 * higher timestamp than the event that caused it, even when the wall clocks of the
 * two processes differ.
 */
import type { EventRecord, Milliseconds } from '@lycheetally/common';
import type { EventPage } from './eventPage.js';

/** The answer of one process, or the reason why there is none. */
export type ProcessAnswer =
  | {
      readonly address: string;
      readonly page: EventPage;
      /** The wall clock of the process minus the reader's, in milliseconds. */
      readonly clockOffsetMs: Milliseconds;
    }
  | { readonly address: string; readonly fault: string };

/** One process of a timeline. */
export interface TimelineProcess {
  /** The process id, or the address when the process did not answer. */
  readonly name: string;
  readonly address: string;
  /** Why the process did not answer; absent when it did. */
  readonly fault?: string;
  readonly clockOffsetMs?: Milliseconds;
  /** Number of events that the process no longer keeps. */
  readonly overwritten: number;
}

/** The events of all processes, with every cause before its effects. */
export interface Timeline {
  readonly processes: readonly TimelineProcess[];
  readonly events: readonly EventRecord[];
}

/** Merges the answers of the processes. */
export const mergeTimeline = (answers: readonly ProcessAnswer[]): Timeline => ({
  processes: answers.map(describeProcess),
  events: answers
    .flatMap(answer => ('page' in answer ? toEvents(answer.page) : []))
    .sort(compareEvents),
});

const toEvents = (page: EventPage): EventRecord[] =>
  page.events.map(({ detail, ...event }) => ({
    ...event,
    ...(detail ? { detail } : {}),
  }));

const compareEvents = (a: EventRecord, b: EventRecord): number =>
  a.stamp - b.stamp || compareText(a.process, b.process);

const compareText = (a: string, b: string): number => {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
};

const describeProcess = (answer: ProcessAnswer): TimelineProcess =>
  'page' in answer
    ? {
        name: answer.page.process,
        address: answer.address,
        clockOffsetMs: answer.clockOffsetMs,
        overwritten: answer.page.overwritten,
      }
    : {
        name: answer.address,
        address: answer.address,
        fault: answer.fault,
        overwritten: 0,
      };

/** Lists the processes that did not answer. */
export const listUnresponsive = (timeline: Timeline): TimelineProcess[] =>
  timeline.processes.filter(process => process.fault !== undefined);
