/** Answers that the gateway gives to requests that it does not pass on. */
import { ErrorKind } from '@lycheetally/common';
import { Outcome } from '@lycheetally/decisions';
import { noRoomRetryAfterMs } from '../constants.js';
import type { ErrorResponse } from './callerPort.js';

/** Formats the answer to what is no request. */
export const formatRefusal = (status: string): string =>
  `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;

export const noRoomError: ErrorResponse = {
  status: 503,
  kind: ErrorKind.NoCapacity,
  message: 'the buffers of this gateway are full; another one may have room',
  outcome: Outcome.NotRun,
  retryAfterMs: noRoomRetryAfterMs,
};

export const noPlaceError: ErrorResponse = {
  status: 503,
  kind: ErrorKind.NoCapacity,
  message: 'too many calls run at this gateway; another one may take it',
  outcome: Outcome.NotRun,
  retryAfterMs: noRoomRetryAfterMs,
};

export const stalledError: ErrorResponse = {
  status: 408,
  kind: ErrorKind.DeadlineExceeded,
  message: 'the body has not gone on for too long; send the request again',
  outcome: Outcome.NotRun,
};

/** Statuses of answers to what Node's parser refuses, where it is not 400. */
export const parserErrorStatus: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};
