/**
 * Checks heads of HTTP messages that were received.
 *
 * Node's parser accepts heads that Node refuses to send, with an exception: a blank
 * in the name of a header, or a control character in the reason of a status line.
 * A gateway that forwards heads therefore checks them where they come in.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http';
import { toMessage } from '@lycheetally/common';

/** The status codes of final responses. */
const minStatus = 200;
const maxStatus = 599;

/** Stands for the reason of a status line, which must be as a header's value. */
const reasonName = 'reason';

/** Returns what is wrong with alternating header names and values, or `undefined`. */
export const findHeaderFault = (
  headers: readonly string[],
): string | undefined => {
  try {
    for (let index = 0; index + 1 < headers.length; index += 2) {
      const name = headers[index] ?? '';
      validateHeaderName(name);
      validateHeaderValue(name, headers[index + 1] ?? '');
    }
    return undefined;
  } catch (thrown) {
    return toMessage(thrown);
  }
};

/** Returns what is wrong with the status of a response, or `undefined`; Node's parser accepts any three digits. */
export const findStatusFault = (status: number): string | undefined =>
  status < minStatus || status > maxStatus
    ? `its status is ${String(status)}, which is none of HTTP`
    : undefined;

/** Returns what is wrong with the head of a response, or `undefined`. */
export const findResponseFault = (
  status: number,
  reason: string,
  headers: readonly string[],
): string | undefined =>
  findStatusFault(status) ?? findHeaderFault([reasonName, reason, ...headers]);
