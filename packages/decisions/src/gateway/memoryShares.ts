/**
 * Divides the memory of a gateway's VM.
 *
 * The process takes much of a small VM before the first call, so that shares of the whole would
 * exceed what is left. Buffers and connections therefore share what the process leaves. On larger
 * VMs shares of the whole are the lower bound of the two.
 */
import { bytesPerMebibyte } from '@lycheetally/common';

/** Memory of a process without calls, in bytes: Node, the code and the tables of some hundred servers. */
const processBytes = 80 * bytesPerMebibyte;

/** Share of a VM that calls find at least, where the settings state less than a process takes. */
const minSpareShare = 1 / 4;

/** Share of the VM's memory in which requests and responses are buffered; the heap and the code take the rest. */
const maxBufferShare = 1 / 4;

/** Share of what the process leaves; the other shares are for connections and for garbage. */
const maxSpareBufferShare = 2 / 5;

/** Share of the VM's memory that connections of callers may take with their requests; the buffers of running calls and their answers take more beside it. */
const maxCallerShare = 0.11;

const maxSpareCallerShare = 1 / 5;

const computeSpareBytes = (vmBytes: number): number =>
  Math.max(vmBytes - processBytes, vmBytes * minSpareShare);

/** Share of what the process leaves that is read before its garbage is collected. */
const maxReadGarbageShare = 1 / 16;

/** Returns the bytes that are read from callers before their garbage is collected. */
export const computeReadGarbageBytes = (vmBytes: number): number =>
  computeSpareBytes(vmBytes) * maxReadGarbageShare;

/** Returns the memory for requests and responses that are buffered, in bytes. */
export const computeBufferBytes = (vmBytes: number): number =>
  Math.min(
    vmBytes * maxBufferShare,
    computeSpareBytes(vmBytes) * maxSpareBufferShare,
  );

/** Returns the memory for connections of callers with their requests, in bytes. */
export const computeCallerBytes = (vmBytes: number): number =>
  Math.min(
    vmBytes * maxCallerShare,
    computeSpareBytes(vmBytes) * maxSpareCallerShare,
  );
