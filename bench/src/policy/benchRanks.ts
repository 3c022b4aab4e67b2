/** The three ranks of the policy benches. */
import type { RankRule } from '@lycheetally/decisions';

/** Names of the ranks, from the most urgent to the least. */
export const rankNames = {
  top: 'family',
  middle: 'shift-summary',
  low: 'donor-report',
} as const;

export const benchRanks: readonly RankRule[] = [
  { name: rankNames.top, urgency: 0, floor: 0, targetMs: 1_200 },
  { name: rankNames.middle, urgency: 1, floor: 0.15, targetMs: 6_000 },
  { name: rankNames.low, urgency: 2, floor: 0.05, targetMs: 60_000 },
];
