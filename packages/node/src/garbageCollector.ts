/** Collects garbage on request, where V8 would wait for longer than the VM has memory. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

export abstract class GarbageCollector {
  /** Collects what was made since the last collections; takes about a millisecond. */
  abstract collectYoung(): void;
  /** Collects everything; takes some ten milliseconds. */
  abstract collectAll(): void;
}

type Collect = (options: { type: 'minor' | 'major' }) => void;

export class V8GarbageCollector extends GarbageCollector {
  private collect: Collect | undefined;

  override collectYoung(): void {
    this.run('minor');
  }

  override collectAll(): void {
    this.run('major');
  }

  private run(type: 'minor' | 'major'): void {
    this.collect ??= takeCollect();
    this.collect({ type });
  }
}

const takeCollect = (): Collect => {
  setFlagsFromString('--expose-gc');
  // Contexts that are made after the flag is set have the function.
  return runInNewContext('gc') as Collect;
};
