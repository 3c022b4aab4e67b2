/** Constants of layer placement. */

/** Share by which a release must raise the lowest capacity of its server's layers; the release drains the server for seconds. */
export const minReleaseGain = 0.1;

/** Share by which the capacity of a server's layers may exceed the lowest one and still count as a bottleneck; two extended neighbours seldom match exactly. */
export const bottleneckMargin = 0.1;

/** The most plans that follow from one state of the servers; each later one builds on the orders of those before. */
export const maxPlanRounds = 12;

/** Holders that each layer of a domain should have; one server may then be lost. */
export const wantedCopies = 2;

/** Layers by which a range may exceed its server's share to give the last layers a second holder; with 2 or 3, one to three of nine domains tried kept a layer with one holder. */
export const maxExtraLayers = 4;

/** Share of the lowest capacity that second holders may cost; what a domain loses with one of its 20 servers is of that order. */
export const maxCapacityLoss = 0.1;

/** Share by which a move must raise the lowest capacity when it adds no second holder; smaller gains are rounding. */
export const minCapacityGain = 0.02;

/** The most moves for second holders in a plan; each takes a few milliseconds. */
export const maxSpareMoves = 40;
