/** Bounds of the loop. */

/** Events taken from the queue before other input is let in. */
export const maxEventsPerTurn = 256;
