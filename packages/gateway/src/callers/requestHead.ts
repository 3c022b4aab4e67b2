/** What the head of a request costs, and whether it can be passed on. */
import type { IncomingMessage } from 'node:http';
import { headerMemoryBytes } from './constants.js';

/** Bytes of the name-value separator and the line end. */
const headerLineOverhead = 4;

/** Bytes that the target and the headers had on the wire. */
export const countHeaderBytes = (incoming: IncomingMessage): number => {
  let bytes = (incoming.url ?? '').length;
  for (const [index, text] of incoming.rawHeaders.entries()) {
    bytes += text.length + (index % 2 === 0 ? headerLineOverhead : 0);
  }
  return bytes;
};

/** Memory that the parsed headers take beside their bytes. */
export const countHeaderMemory = ({ rawHeaders }: IncomingMessage): number =>
  (rawHeaders.length / 2) * headerMemoryBytes;

/** Whether it expects nothing, or what Node's server does. */
export const matchesExpectation = ({
  headers,
  httpVersion,
}: IncomingMessage): boolean =>
  headers.expect === undefined ||
  httpVersion !== '1.1' ||
  /(?:^|\W)100-continue(?:$|\W)/i.test(headers.expect);

/** Whether the request target is a path (origin form) and there is exactly one Host header. */
export const matchesOriginForm = (incoming: IncomingMessage): boolean => {
  const hosts = incoming.rawHeaders.filter(
    (name, index) => index % 2 === 0 && name.toLowerCase() === 'host',
  );
  return hosts.length === 1 && (incoming.url ?? '').startsWith('/');
};
