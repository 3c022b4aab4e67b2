/** Forecasts when a route would deliver the first token and the complete response. */
import type { Milliseconds } from '@lycheetally/common';
import type { RouteForecast } from '../admit/overloadPolicy.js';
import type { LoadTracker } from '../load/loadTracker.js';
import type { Route } from '../routing.js';
import type { RequestView } from '../types.js';
import type { LinkTable } from './linkTable.js';

const defaultMaxTokens = 64;
/** Prompt tokens computed in the time of one decode pass. */
const promptTokensPerPass = 200;

/** Estimates the times of a request on the route. */
export const estimateRoute = (
  route: Route,
  request: RequestView,
  loadTracker: LoadTracker,
  links: LinkTable,
  now: Milliseconds,
): RouteForecast => {
  const firstServerId = route[0]?.serverId ?? '';
  const urgency = request.urgency ?? 0;
  const waitFactor = loadTracker.computeWaitFactor(
    request.service,
    urgency,
    request.account,
  );
  const waitMs = loadTracker
    .get(firstServerId)
    .estimateWait(urgency, waitFactor, now);
  const promptTokens = request.promptTokens ?? 1;
  const promptPasses = 1 + promptTokens / promptTokensPerPass;
  let tokenLatencyMs = 0;
  let slowestGapMs = 0;
  let promptMs = 0;
  let from = route.at(-1)?.failureDomain ?? '';
  for (const server of route) {
    const load = loadTracker.get(server.serverId);
    const passMs = load.estimatePass(now);
    const to = server.failureDomain;
    slowestGapMs = Math.max(slowestGapMs, load.estimateTokenGap(urgency, now));
    tokenLatencyMs += passMs + links.estimateDelay(from, to, 1);
    promptMs += passMs * promptPasses;
    promptMs += links.estimateDelay(from, to, promptTokens);
    from = to;
  }
  const remainingTokens = Math.max(
    0,
    (request.maxTokens ?? defaultMaxTokens) - 1,
  );
  const firstTokenMs = waitMs + promptMs;
  const completionMs =
    firstTokenMs + Math.max(tokenLatencyMs, slowestGapMs) * remainingTokens;
  return { waitMs, firstTokenMs, completionMs };
};
