/** Forecasts when a route would deliver the first token and the complete response. */
import type { Milliseconds } from '@lycheetally/common';
import type { RouteForecast } from '../admit/loadGate.js';
import type { LoadBook } from '../load/loadBook.js';
import type { Route } from '../routing.js';
import type { RequestView } from '../types.js';
import type { LinkTable } from './linkTable.js';

const defaultTokens = 64;
/** Prompt tokens computed in the time of one decode pass. */
const promptTokensPerPass = 200;

/** Estimates the times of a request on the route. */
export const estimateRoute = (
  route: Route,
  request: RequestView,
  book: LoadBook,
  links: LinkTable,
  now: Milliseconds,
): RouteForecast => {
  const firstId = route[0]?.serverId ?? '';
  const urgency = request.urgency ?? 0;
  const factor = book.computeWaitFactor(
    request.service,
    urgency,
    request.account,
  );
  const waitMs = book.get(firstId).estimateWait(urgency, factor, now);
  const promptTokens = request.promptTokens ?? 1;
  const promptPasses = 1 + promptTokens / promptTokensPerPass;
  let loopMs = 0;
  let slowestMs = 0;
  let promptMs = 0;
  let from = route.at(-1)?.failureDomain ?? '';
  for (const server of route) {
    const load = book.get(server.serverId);
    const passMs = load.estimatePass(now);
    const to = server.failureDomain;
    slowestMs = Math.max(slowestMs, load.estimateTokenGap(urgency, now));
    loopMs += passMs + links.estimateDelay(from, to, 1);
    promptMs += passMs * promptPasses;
    promptMs += links.estimateDelay(from, to, promptTokens);
    from = to;
  }
  const gaps = Math.max(0, (request.maxTokens ?? defaultTokens) - 1);
  const firstTokenMs = waitMs + promptMs;
  const completionMs = firstTokenMs + Math.max(loopMs, slowestMs) * gaps;
  return { waitMs, firstTokenMs, completionMs };
};
