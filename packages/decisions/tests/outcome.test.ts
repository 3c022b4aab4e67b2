/** Derivation of the outcome of a request from its attempts. */
import { describe, expect, it } from 'vitest';
import { Outcome, decideOutcome } from '../src/index.js';

const { Failed, NotRun, Unknown } = Outcome;

describe('decideOutcome', () => {
  it.each([
    [[], NotRun],
    [[NotRun, NotRun], NotRun],
    [[Failed, NotRun], Failed],
    [[Unknown, NotRun], Unknown],
    [[Failed, Unknown], Unknown],
  ])('turns the attempts %j into %s', (attempts, outcome) => {
    expect(decideOutcome(attempts)).toBe(outcome);
  });
});
