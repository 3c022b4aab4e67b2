/** Garbage of reads is collected by what was read, and no more often. */
import { GarbageCollector } from '@lycheetally/node';
import { expect, it } from 'vitest';
import { ReadGarbage } from '../src/callers/readGarbage.js';

class CountingCollector extends GarbageCollector {
  young = 0;
  all = 0;

  override collectYoung(): void {
    this.young += 1;
  }

  override collectAll(): void {
    this.all += 1;
  }
}

// Guards against buffers of reads that fill the VM until V8 collects them.
it('collects once for each share of bytes, and everything each fourth time', () => {
  const collector = new CountingCollector();
  const garbage = new ReadGarbage(collector, 1_000);
  garbage.note(999);
  expect(collector).toMatchObject({ young: 0, all: 0 });
  garbage.note(1);
  expect(collector).toMatchObject({ young: 1, all: 0 });
  for (let reads = 0; reads < 70; reads += 1) {
    garbage.note(100);
  }
  expect(collector).toMatchObject({ young: 6, all: 2 });
});
