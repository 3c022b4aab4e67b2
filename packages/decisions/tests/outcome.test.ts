/** The outcome of a request follows from those of its attempts. */
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
  ])('of the attempts %j is %s', (attempts, outcome) => {
    expect(decideOutcome(attempts)).toBe(outcome);
  });
});
