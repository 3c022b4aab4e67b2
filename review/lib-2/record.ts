/** Writes what was sent, answered and run, with the time since the start. */
import { appendFileSync, writeFileSync } from 'node:fs';

export class CaseRecord {
  private readonly startedAt = performance.now();

  constructor(private readonly path: string) {
    writeFileSync(path, '');
  }

  note(text: string): void {
    const seconds = (performance.now() - this.startedAt) / 1_000;
    appendFileSync(this.path, `${seconds.toFixed(3)} s  ${text}\n`);
  }
}
