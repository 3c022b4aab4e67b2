/**
 * Shows operators the suspects that are not sent as usual, with the evidence, and lets them
 * clear one:
 *
 *     curl http://METRICS-ADDRESS/suspects
 *     curl -X POST 'http://METRICS-ADDRESS/suspects/lift?id=call:...'
 *
 * The clearing reaches the other gateways as the answer to a call would.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Milliseconds } from '@lycheetally/common';
import type { Suspect } from './suspect.js';

const listPath = '/suspects';
const liftPath = '/suspects/lift';

export interface SuspectPageServices {
  postCompletion(run: (now: Milliseconds) => void): void;
  listSuspects(): readonly Suspect[];
  /** Returns whether the suspect was known. */
  clearSuspect(id: string, now: Milliseconds): boolean;
}

export class SuspectPage {
  constructor(private readonly services: SuspectPageServices) {}

  /** Answers a request for this page; returns `false` for any other one. */
  receive(incoming: IncomingMessage, response: ServerResponse): boolean {
    const { method, url = '' } = incoming;
    const [path, query] = url.split('?', 2);
    if (path === listPath) {
      this.sendList(response);
      return true;
    }
    if (path === liftPath && method === 'POST') {
      this.clear(new URLSearchParams(query).get('id') ?? '', response);
      return true;
    }
    return false;
  }

  private sendList(response: ServerResponse): void {
    this.services.postCompletion(now => {
      const suspects = this.services
        .listSuspects()
        .filter(({ isDoubted }) => isDoubted)
        .map(suspect => describeSuspect(suspect, now));
      sendJson(response, 200, { suspects });
    });
  }

  private clear(id: string, response: ServerResponse): void {
    this.services.postCompletion(now => {
      const isKnown = this.services.clearSuspect(id, now);
      const body = isKnown
        ? { lifted: id }
        : { error: `no suspect has the id "${id}"; ${listPath} lists them` };
      sendJson(response, isKnown ? 200 : 404, body);
    });
  }
}

const describeSuspect = (
  { service, trait, state, refusedAt, sightings }: Suspect,
  now: Milliseconds,
): object => ({
  id: trait.id,
  kind: trait.kind,
  service,
  state,
  refusedForMs:
    refusedAt === undefined ? undefined : Math.round(now - refusedAt),
  crashes: sightings.listLive().map(({ crash, requestId, at, isOwn }) => ({
    server: crash,
    request: requestId,
    agoMs: Math.round(now - at),
    seenHere: isOwn,
  })),
});

const sendJson = (
  response: ServerResponse,
  status: number,
  body: object,
): void => {
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end(`${JSON.stringify(body)}\n`);
};
