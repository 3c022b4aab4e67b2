/** Limits of the event loop, in milliseconds. */

/** Time after which a turn handles no further event, and I/O is polled; a small part of the time in which a caller that left must be noticed. */
export const maxTurnMs = 20;

/** Time for which turns are left out while connections come and turns are short. */
export const minAcceptMs = 5;

/** Age of what was read last up to which a request is written by it; a small part of the time in which a caller that left must be noticed. */
export const maxViewAgeMs = 100;
