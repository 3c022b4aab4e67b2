/** Sums by rank, which are created as the ranks appear. */
import { DecayingSum } from '../load/decayingSum.js';
import { rateHalfLifeMs } from './constants.js';

export const getOrCreateSum = (
  sums: DecayingSum[],
  urgency: number,
): DecayingSum => {
  while (sums.length <= urgency) {
    sums.push(new DecayingSum(rateHalfLifeMs));
  }
  const [sum = new DecayingSum(rateHalfLifeMs)] = sums.slice(urgency);
  return sum;
};
