/** Limits of the event loop. */

/** Events that the loop handles before it yields to I/O. */
export const maxEventsPerTurn = 256;
