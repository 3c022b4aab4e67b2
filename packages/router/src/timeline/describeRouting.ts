/** Describes a routing decision for the timeline. */
import type { EventRecord, Result } from '@lycheetally/common';
import type { Route, ServerView } from '@lycheetally/decisions';

/** Maximum number of candidates listed in one event; the others are only counted. */
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
