/** What a chain takes of its servers and of the links that it crosses, and how fast it is expected to be. */
import type { Milliseconds } from '@lycheetally/common';
import {
  computeServerCosts,
  crossDomainEntryMs,
  isStageFull,
  localHopMs,
  type ChainRequest,
  type ChainStage,
  type ChosenChain,
} from '../placement/chainChoice.js';
import {
  computeCacheCapacity,
  findAcceleratorKind,
  type LayeredModel,
} from '../placement/types.js';
import {
  defaultPaceMs,
  fullUse,
  maxLinkUse,
  meanUseWeight,
  otherDomainUse,
  slowChainWeight,
} from './constants.js';

/** A chain and what speaks against it. */
export interface MeasuredChain extends ChosenChain {
  /** Use of its servers and links, and what it is slower than the pace; lower is better. */
  readonly cost: number;
  /** Predicted time from the start to the first event, without queues, in milliseconds. */
  readonly firstEventMs: Milliseconds;
  /** Time per token of each stage as expected of its kind of accelerator under its load. */
  readonly stageMs: readonly Milliseconds[];
}

export const getPace = ({
  paceMs = defaultPaceMs,
}: ChainRequest): Milliseconds => paceMs;

/** Assesses stages that run the layers of the request. */
export const measureChain = (
  request: ChainRequest,
  stages: readonly ChainStage[],
): MeasuredChain => {
  const { getLoad } = request;
  const stageMs: Milliseconds[] = [];
  let tokenMs = 0;
  let readMs = 0;
  let usedSum = 0;
  let mostUsed = 0;
  let hasRoom = true;
  let domain = request.homeDomain;
  for (const stage of stages) {
    const { server, range } = stage;
    const costs = computeServerCosts(request, server, server.range ?? range);
    const isFull = isStageFull(costs, range, request.tokens);
    const use = isFull ? fullUse : computeUse(request, stage);
    usedSum += use;
    mostUsed = Math.max(mostUsed, use);
    const ownMs = costs.layerMs * (range.to - range.from);
    stageMs.push(ownMs / getLoad(server.serverId).stepTimeRatio);
    tokenMs += ownMs + localHopMs;
    readMs += computeReadMs(request, stage);
    if (server.failureDomain !== domain && range.from > 0) {
      const { failureDomain } = server;
      const linkUse = getLinkUse(request, domain, failureDomain);
      tokenMs += computeCrossingMs(request, domain, failureDomain);
      readMs += computeTransferMs(request.model, getPrompt(request));
      const isFullLink = isLinkFull(request, domain, failureDomain);
      mostUsed = Math.max(mostUsed, isFullLink ? fullUse : linkUse);
      hasRoom &&= !isFullLink;
    }
    domain = server.failureDomain;
    hasRoom &&= !isFull;
  }
  const isElsewhere = stages[0]?.server.failureDomain !== request.homeDomain;
  const { tokensPerEvent = 1 } = request.model;
  const firstEventMs =
    readMs + tokenMs * tokensPerEvent + (isElsewhere ? crossDomainEntryMs : 0);
  const slowness = Math.max(
    0,
    tokenMs / getPace(request) - 1,
    firstEventMs / (request.firstEventMs ?? Infinity) - 1,
  );
  return {
    stages,
    stageMs,
    hasRoom,
    tokenMs,
    firstEventMs,
    cost:
      mostUsed +
      (meanUseWeight * usedSum) / Math.max(1, stages.length) +
      slowness * slowChainWeight +
      (isElsewhere ? otherDomainUse : 0),
  };
};

/** Computes the share of the server that is in use with the call: of its KV cache, or of its places for first stages. */
const computeUse = (
  { model, tokens, getLoad }: ChainRequest,
  { server, range }: ChainStage,
): number => {
  const kind = findAcceleratorKind(model, server.kind);
  const { layerTokens, firstStageRequests } = getLoad(server.serverId);
  const capacity =
    kind && computeCacheCapacity(model, kind, server.range ?? range);
  const used = layerTokens + tokens * (range.to - range.from);
  const cacheUse = capacity === undefined ? fullUse : used / capacity;
  return range.from === 0
    ? Math.max(cacheUse, (firstStageRequests + 1) / server.slots)
    : cacheUse;
};

/** Predicts how long the server reads the prompt for the layers of the stage. */
export const computeReadMs = (
  request: ChainRequest,
  { server, range }: ChainStage,
): Milliseconds => {
  const { model, getLoad } = request;
  const kind = findAcceleratorKind(model, server.kind);
  if (!kind || model.readTokensPerSecond === undefined) {
    return 0;
  }
  const factor = kind.readFactor ?? kind.stepFactor;
  const share = (range.to - range.from) / model.layers;
  const seconds = getPrompt(request) / model.readTokensPerSecond;
  const { stepTimeRatio } = getLoad(server.serverId);
  return seconds * millisecondsPerSecond * factor * share * stepTimeRatio;
};

const millisecondsPerSecond = 1_000;
const bitsPerByte = 8;

const getPrompt = ({ promptTokens, model }: ChainRequest): number =>
  promptTokens ?? model.usual?.prompt ?? 0;

/** Computes what the hops within failure domains add to a token. */
export const computeHopMs = (stages: readonly ChainStage[]): Milliseconds =>
  stages.length * localHopMs;

/** Computes how long the tokens occupy the link between two failure domains. */
export const computeTransferMs = (
  { link }: LayeredModel,
  tokens: number,
): Milliseconds =>
  link
    ? (tokens * link.activationBytes * bitsPerByte) /
      (link.megabitsPerSecond * bitsPerMegabitMs)
    : 0;

/** Bits that a link of one megabit per second carries in a millisecond. */
const bitsPerMegabitMs = 1_000;

/**
 * Predicts what crossing to another failure domain adds to a token: the delay, and the
 * transfer of the prompt, spread over the answer, and of the token itself behind the
 * transfers of other chains.
 */
export const computeCrossingMs = (
  request: ChainRequest,
  from: string,
  to: string,
): Milliseconds => {
  const { model } = request;
  const answer = model.usual?.answer ?? 1;
  const transferMs = computeTransferMs(model, getPrompt(request) / answer + 1);
  const use = getLinkUse(request, from, to);
  return crossDomainEntryMs + transferMs / (1 - Math.min(maxLinkUse, use));
};

/** Says whether the link has no room for a further chain. */
export const isLinkFull = (
  request: ChainRequest,
  from: string,
  to: string,
): boolean => getLinkUse(request, from, to) >= maxLinkUse;

const getLinkUse = (
  { getLinkUse: get }: ChainRequest,
  from: string,
  to: string,
): number => get?.(from, to) ?? 0;
