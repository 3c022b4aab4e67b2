/** Describes a routing decision for the time line. */
import type { EventRecord, Result } from '@lycheetally/common';
import type { Route, ServerView } from '@lycheetally/decisions';

/** Candidates that one event names; the rest are counted. */
const maxCandidates = 8;

/** Returns the detail of the event `route-decided`. */
export const describeRouting = (
  servers: readonly ServerView[],
  avoided: readonly string[],
  chosen: Result<Route>,
): NonNullable<EventRecord['detail']> => {
  const shown = servers.slice(0, maxCandidates).map(formatCandidate);
  return {
    candidates: shown.join(' '),
    candidateCount: servers.length,
    avoided: avoided.join(' '),
    ...(chosen.ok
      ? { route: chosen.val.map(server => server.serverId).join(' > ') }
      : { refusal: chosen.val.message }),
  };
};

const formatCandidate = (server: ServerView): string => {
  const state = describeState(server);
  const load = `outstanding=${String(server.outstanding)}`;
  return `${server.serverId}(${state === '' ? load : state})`;
};

const describeState = (server: ServerView): string => {
  if (!server.isConnected) {
    return 'not connected';
  }
  return server.isLeaving ? 'leaving' : '';
};
