/** How placement reacts to the loss of servers. */
import type { ValueOf } from '@lycheetally/common';

export const RepairMode = {
  /** Sends all orders of a repair at once and keeps to them until the servers have loaded. */
  Committed: 'committed',
  /** Plans anew at each interval. */
  Continuous: 'continuous',
} as const;
export type RepairMode = ValueOf<typeof RepairMode>;
