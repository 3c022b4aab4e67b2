/** The standard outputs of a process whose readers may go away. */
import { writeSync } from 'node:fs';

const standardErrorDescriptor = 2;
const standardOutputDescriptor = 1;

/** Without it, the first write to an output without a reader would end the process. */
export const keepRunningWithoutReaders = (): void => {
  for (const output of [process.stdout, process.stderr]) {
    output.on('error', () => undefined);
  }
};

/** Writes why the process ends, before it does: to standard error, or to standard output if that has no reader. */
export const writeLastLine = (line: string): void => {
  for (const descriptor of [
    standardErrorDescriptor,
    standardOutputDescriptor,
  ]) {
    try {
      writeSync(descriptor, `${line}\n`);
      return;
    } catch {
      // There is no reader; the other output may have one.
    }
  }
};
