/** Buffers and connections fit into what a process leaves of its VM. */
import { describe, expect, it } from 'vitest';
import { bytesPerMebibyte } from '@lycheetally/common';
import {
  computeBufferBytes,
  computeCallerBytes,
  maxCallShare,
} from '../src/index.js';

const idleMebibytes = 80;

/** Largest body within the limits of the users' deployments. */
const bodyMebibytes = 4;

describe.each([112, 160, 202, 250, 350, 602])(
  'on a VM of %d MiB',
  vmMebibytes => {
    const buffers = computeBufferBytes(vmMebibytes * bytesPerMebibyte);
    const callers = computeCallerBytes(vmMebibytes * bytesPerMebibyte);

    // Guards against shares of the whole VM, of which the process takes most.
    it('buffers and connections leave a third of what the process leaves', () => {
      const spare = (vmMebibytes - idleMebibytes) * bytesPerMebibyte;
      expect(buffers + callers).toBeLessThanOrEqual((spare * 2) / 3);
    });

    it('one body within the limits is buffered', () => {
      expect(buffers * maxCallShare).toBeGreaterThan(
        bodyMebibytes * bytesPerMebibyte,
      );
    });

    it('no more is taken than the shares of the whole VM', () => {
      expect(buffers).toBeLessThanOrEqual((vmMebibytes * bytesPerMebibyte) / 4);
    });
  },
);
