/** What the placing of layers and the choice of chains are decided from. */
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
  /** Time of a token step against the model's base time; larger is slower. */
  readonly stepFactor: number;
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
}

/** A backend server that can hold a part of a model. */
export interface StageServer {
  readonly serverId: string;
  /** Address as `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Name of its kind of accelerator. */
  readonly kind: string;
  /** The layers it holds; absent while it holds none. */
  readonly range: LayerRange | undefined;
  /** Requests that it takes as the first of a chain. */
  readonly slots: number;
  /** It carries out an order, or refused one a moment ago; it is planned with as it is. */
  readonly isBusy?: boolean;
}

/** What this entry has under way at a backend server. */
export interface StageLoad {
  /** Tokens times layers of KV cache. */
  readonly layerTokens: number;
  /** Requests that it serves as the first of a chain. */
  readonly firstRequests: number;
  /** Observed slowness against what its kind should do; 1 is as expected. */
  readonly slowness: number;
}

export const findKind = (
  model: LayeredModel,
  kind: string,
): AcceleratorKind | undefined =>
  model.kinds.find(candidate => candidate.name === kind);

/** Tokens times layers that the server has room for beside its layers. */
export const computeLayerTokens = (
  model: LayeredModel,
  kind: AcceleratorKind,
  range: LayerRange,
): number => {
  const held = (range.to - range.from) * model.layerMegabytes;
  const free = Math.max(0, kind.memoryMegabytes - held) * bytesPerMegabyte;
  return free / (model.cacheBytesPerToken / model.layers);
};

const bytesPerMegabyte = 1_000_000;
