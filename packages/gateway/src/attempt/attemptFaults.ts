/** Faults that the caller and the log receive when an attempt does not complete its call. */
import { ErrorKind } from '@lycheetally/common';
import type { BackendHead } from '../backendPort.js';
import type { CallFault } from '../calls/gatewayCall.js';

export const isSuccess = (status: number): boolean =>
  status >= 200 && status < 300;

export const createBackendFault = (reason: string): CallFault => ({
  status: 502,
  kind: ErrorKind.BackendFailed,
  message: reason,
});

export const createRefusalFault = (head: BackendHead): CallFault => ({
  status: 503,
  kind: ErrorKind.NoCapacity,
  message: `the server refused with status ${String(head.status)}`,
});

export const createErrorFault = (head: BackendHead): CallFault => ({
  status: head.status,
  kind: ErrorKind.BackendFailed,
  message: `the server answered with status ${String(head.status)}`,
});
