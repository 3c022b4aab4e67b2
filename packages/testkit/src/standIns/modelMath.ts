/**
 * Deterministic arithmetic that takes the place of a model's forward pass.
 *
 * Each layer combines the hidden state of a position with a cache that depends
 * on all earlier positions, so a layer or position that is skipped, repeated or
 * reordered changes every later token.
 */
import { hashText, mixBits } from '@lycheetally/common';

const vocabularySize = 4_096;
const stateMultiplier = 0x9e3779b1;

/** Cached value of each layer, which depends on all earlier positions of a sequence. */
export type LayerCache = Map<number, number>;

/** Splits a prompt into words and returns a token id for each. */
export const tokenizePrompt = (prompt: string): number[] => {
  const words = prompt.split(/\s+/).filter(word => word !== '');
  return (words.length === 0 ? [''] : words).map(
    word => hashText(word) % vocabularySize,
  );
};

/** Returns the hidden state of a token at the input of the first layer. */
export const embedToken = (token: number, position: number): number =>
  mixBits((token + 1) * 31 + position);

/**
 * Applies one layer to the hidden state of a position and updates the layer's
 * cache.
 */
export const applyLayer = (
  state: number,
  layer: number,
  cache: LayerCache,
): number => {
  const cached = cache.get(layer) ?? 0;
  const output = mixBits(
    (Math.imul(state, stateMultiplier) ^
      Math.imul(layer + 1, 0x85ebca77) ^
      cached) >>>
      0,
  );
  cache.set(layer, mixBits((cached + output) >>> 0));
  return output;
};

/**
 * Applies the layers from `from` up to but excluding `to` to the hidden state
 * of a position.
 */
export const applyLayers = (
  state: number,
  from: number,
  to: number,
  cache: LayerCache,
): number => {
  let output = state;
  for (let layer = from; layer < to; layer += 1) {
    output = applyLayer(output, layer, cache);
  }
  return output;
};

/** Returns the next token, given the hidden state after the last layer. */
export const pickToken = (state: number): number => state % vocabularySize;

/** Returns the text of a token. */
export const formatToken = (token: number): string => ` t${String(token)}`;

/** Computes all tokens of a completion as one engine with every layer would. */
export const computeCompletion = (
  prompt: string,
  maxTokens: number,
  layers: number,
): number[] => {
  const cache: LayerCache = new Map();
  const tokens = tokenizePrompt(prompt);
  let state = 0;
  tokens.forEach((token, position) => {
    state = applyLayers(embedToken(token, position), 0, layers, cache);
  });
  const generated: number[] = [];
  while (generated.length < maxTokens) {
    const token = pickToken(state);
    const position = tokens.length + generated.length;
    generated.push(token);
    state = applyLayers(embedToken(token, position), 0, layers, cache);
  }
  return generated;
};

/** Returns the text of a completion. */
export const formatTokens = (tokens: readonly number[]): string =>
  tokens.map(formatToken).join('');
