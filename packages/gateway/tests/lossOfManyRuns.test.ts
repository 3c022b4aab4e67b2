/** What is said to many calls at once is said in many events, so that a turn of the loop can end between them. */
import { expect, it } from 'vitest';
import { getOrThrow } from '@lycheetally/common';
import { bindCheckChart } from '../src/servers/serverCheck.js';
import {
  ServerLossHandler,
  type LossServices,
} from '../src/servers/serverLossHandler.js';
import type { GatewayCall } from '../src/calls/gatewayCall.js';
import type { Server } from '../src/servers/server.js';
import { WaitingCalls } from '../src/calls/waitingCalls.js';
import { ManualTimers } from './manualTimers.js';

const callCount = 50;
const serverId = 'i-1';

class TestCalls {
  readonly told: number[] = [];
  readonly posted: ((now: number) => void)[] = [];

  /** Calls with a chain that uses the server. */
  readonly calls = Array.from(
    { length: callCount },
    (_, at) =>
      ({
        attempt: {
          chosen: { chain: [{}] },
          silence: { isSilentFor: () => true },
          servers: { has: () => true },
          instance: {
            send: () => {
              this.told.push(at);
            },
          },
        },
      }) as unknown as GatewayCall,
  );

  readonly handler = new ServerLossHandler(getOrThrow(bindCheckChart()), {
    timers: new ManualTimers(),
    serverRegistry: { listUsable: () => [] },
    postCompletion: (run: (now: number) => void) => {
      this.posted.push(run);
    },
    listCalls: () => this.calls,
  } as unknown as LossServices);
}

// Guards against one event in which all calls of a lost server choose others.
it('the runs of a lost server are told of it one by one', () => {
  const test = new TestCalls();
  const server = { record: { serverId, service: 'desk' } };
  test.handler.handleLost(server as unknown as Server, 0);
  expect(test.told).toEqual([]);
  expect(test.posted.length).toBe(callCount);
  test.posted.forEach(run => {
    run(1);
  });
  expect(test.told.length).toBe(callCount);
});

it('calls that wait for silent servers are listed with the most urgent first', () => {
  const waiting = new WaitingCalls();
  const urgencies = [2, 0, 1];
  for (const urgency of urgencies) {
    waiting.add({
      isWaitingForSilent: true,
      admitted: { service: { name: 'desk' }, urgency },
    } as unknown as GatewayCall);
  }
  const listed = waiting.listForSilent('desk');
  expect(listed.map(({ admitted }) => admitted?.urgency)).toEqual([0, 1, 2]);
});
