/** Inputs of layer placement and chain choice. */
import type { Milliseconds } from '@lycheetally/common';

/** A contiguous range of a model's layers, counted from 0; `to` is exclusive. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** A kind of accelerator. */
export interface AcceleratorKind {
  readonly name: string;
  readonly memoryMegabytes: number;
  /** Time of a token step relative to the model's base time; larger is slower. */
  readonly stepFactor: number;
  /** Time of reading a prompt relative to the model's base time; `stepFactor` when absent. */
  readonly readFactor?: number | undefined;
}

/** What a stage sends to the next one, and the links between failure domains that carry it. */
export interface ModelLink {
  /** Bytes of activations per token and hop. */
  readonly activationBytes: number;
  /** Rate of the link that all chains between two failure domains share, in megabits per second. */
  readonly megabitsPerSecond: number;
}

/** Mean token counts of the calls of a model. */
export interface UsualTokens {
  readonly prompt: number;
  readonly answer: number;
}

/** A model whose layers are spread over several backend servers. */
export interface LayeredModel {
  readonly layers: number;
  readonly layerMegabytes: number;
  /** Bytes of KV cache that one token takes over all layers. */
  readonly cacheBytesPerToken: number;
  /** Milliseconds of one token step over all layers at factor 1. */
  readonly stepMs: Milliseconds;
  /** Milliseconds that each running request adds to a step. */
  readonly stepMsPerRequest: Milliseconds;
  /** Milliseconds that 1,000 tokens of context add to a step. */
  readonly stepMsPerContextK: Milliseconds;
  readonly kinds: readonly AcceleratorKind[];
  /** Tokens in each event of a stream. */
  readonly tokensPerEvent?: number | undefined;
  /** Prompt tokens that all layers read per second at factor 1. */
  readonly readTokensPerSecond?: number | undefined;
  readonly link?: ModelLink | undefined;
  readonly usual?: UsualTokens | undefined;
}

/** A backend server that can hold a part of a model. */
export interface StageServer {
  readonly serverId: string;
  /** Address as `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Name of its kind of accelerator. */
  readonly kind: string;
  /** The layers that it holds; absent while it holds none. */
  readonly range: LayerRange | undefined;
  /** Requests that it serves as the first server of a chain before it counts as full. */
  readonly slots: number;
  /** It is carrying out a placement order or has just refused one, so plans keep its layers. */
  readonly isBusy?: boolean;
  /** It was told to take the layers of `range` and may serve none of them yet. */
  readonly isLoading?: boolean;
}

/** The estimated load of a backend server. */
export interface StageLoad {
  /** KV cache in use, in layer-tokens: tokens times layers. */
  readonly layerTokens: number;
  /** Requests that it serves as the first server of a chain. */
  readonly firstStageRequests: number;
  /** Observed step time relative to that expected of its accelerator kind; 1 is as expected. */
  readonly stepTimeRatio: number;
}

export const findAcceleratorKind = (
  model: LayeredModel,
  kind: string,
): AcceleratorKind | undefined =>
  model.kinds.find(candidate => candidate.name === kind);

/** Computes the KV cache capacity left beside the weights of the range, in layer-tokens. */
export const computeCacheCapacity = (
  model: LayeredModel,
  kind: AcceleratorKind,
  range: LayerRange,
): number => {
  const held = (range.to - range.from) * model.layerMegabytes;
  const free = Math.max(0, kind.memoryMegabytes - held) * bytesPerMegabyte;
  return free / (model.cacheBytesPerToken / model.layers);
};

const bytesPerMegabyte = 1_000_000;
