/** The cost of a request in token units; prompt and generated tokens have different prices. */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Result,
} from '@lycheetally/common';

/** Price of one token of each kind, in token units. */
export interface TokenPrices {
  readonly promptToken: number;
  readonly generatedToken: number;
}

export const defaultTokenPrices: TokenPrices = {
  promptToken: 0.1,
  generatedToken: 1,
};

/** Maximum cost of one request, in token units. */
export const maxRequestCost = 1_000_000;

/** Fails with `BadRequest` when a count or the cost is out of range. */
export const computeTokenCost = (
  promptTokens: number,
  generatedTokens: number,
  prices: TokenPrices = defaultTokenPrices,
): Result<number> => {
  const cost =
    promptTokens * prices.promptToken + generatedTokens * prices.generatedToken;
  const isValid =
    promptTokens >= 0 && generatedTokens >= 0 && cost <= maxRequestCost;
  if (isValid) {
    return Ok(cost);
  }
  return Err(
    new TypedError(
      ErrorKind.BadRequest,
      `the cost of ${String(promptTokens)} prompt and ${String(generatedTokens)} generated tokens is out of range`,
      `counts must not be negative, and their cost may be at most ${String(maxRequestCost)}`,
    ),
  );
};
