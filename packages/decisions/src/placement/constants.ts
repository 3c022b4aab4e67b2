/** Constants of layer placement. */

/** Share by which a release must raise the lowest capacity of its server's layers; the release drains the server for seconds. */
export const minReleaseGain = 0.1;

/** Share by which the capacity of a server's layers may exceed the lowest one and still count as a bottleneck; two extended neighbours seldom match exactly. */
export const bottleneckMargin = 0.1;

/** The most plans that follow from one state of the servers; each later one builds on the orders of those before. */
export const maxPlanRounds = 12;
