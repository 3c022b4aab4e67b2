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
  private readonly collect: Collect;

  constructor() {
    super();
    // Contexts that are made after the flag is set have the function.
    setFlagsFromString('--expose-gc');
    this.collect = runInNewContext('gc') as Collect;
  }

  override collectYoung(): void {
    this.collect({ type: 'minor' });
  }

  override collectAll(): void {
    this.collect({ type: 'major' });
  }
}
