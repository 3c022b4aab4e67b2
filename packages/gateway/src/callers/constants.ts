/** Limits on what callers make a gateway keep; a deployment may set those that its settings name. */

/** Descriptors of the VM if the settings do not state them. */
export const defaultMaxDescriptors = 4_096;

/** Descriptors that the platform keeps for files. */
export const fileDescriptors = 200;

/** Share of the other descriptors that callers may take; the rest is for servers, the store, gateways and the readiness check. */
export const maxCallerDescriptorShare = 0.6;

/** Connections of callers that any VM has room for. */
export const minConnections = 256;

/** What a connection holds at least that gives way for its memory, in bytes; an ordinary call and its connection hold less. */
export const minExcessBytes = 24_576;

/** Share of the memory for callers that the requests of one connection may take before further ones are parsed. */
export const maxAheadShare = 1 / 32;

/** Requests of one connection that are parsed before the first of them is answered; the rest waits in the socket. */
export const defaultMaxRequestsAhead = 16;

/** Time after which a request or an answer without progress ends, in seconds; calls take up to twenty. */
export const defaultStalledSeconds = 60;

/** Memory of an idle connection, with its parser and its chart, in bytes. */
export const connectionBytes = 8_192;

/** Largest header block that Node's parser accepts, in bytes. */
export const maxHeadBytes = 65_536;

/** Memory of a request beside its head and its body, in bytes. */
export const requestBytes = 6_144;

/** Memory of a parsed header beside its bytes: its strings, and its places in Node's lists of headers. */
export const headerMemoryBytes = 256;

/** Largest piece that is parsed at once, in bytes; in chunks of a byte each it takes about a millisecond. */
export const maxPieceBytes = 4_096;

/** Time that a turn of reading takes at most; a stream that waits behind it notices no pause. */
export const maxReadingMs = 25;

/** Time of a turn that one connection takes at most while others wait to be read. */
export const maxConnectionReadingMs = 1;

/** Log lines about connections that were closed at most in each window; a crowd may be many. */
export const excessLogLimit = { maxLines: 30, windowMs: 60_000 } as const;
