/**
 * Keeps V8's young generation small on small VMs.
 *
 * It grows to 48 MiB by default, whatever the limit of the old generation: almost half of the smallest
 * VM. V8 reads the factor of its growth at each growth, so that it can follow the settings; the other
 * limits of the heap are fixed when Node starts.
 */
import { setFlagsFromString } from 'node:v8';

/** Memory of a VM below which the young generation doesn't grow, in MiB; above it, the default is under a fifth. */
const smallVmMebibytes = 256;

const setGrowthFactor = (factor: number): void => {
  setFlagsFromString(`--semi-space-growth-factor=${String(factor)}`);
};

/** Keeps the young generation as it is. Call it before modules load, which makes it grow. */
export const keepYoungGeneration = (): void => {
  setGrowthFactor(1);
};

/** Lets the young generation grow as usual, if the VM has room for it. */
export const applyVmMemory = (memoryMebibytes: number): void => {
  if (memoryMebibytes >= smallVmMebibytes) {
    setGrowthFactor(2);
  }
};
