/** The attempts that an agent must not run again; the oldest are forgotten first. */

export class EndedAttempts {
  private readonly keys = new Set<string>();

  constructor(private readonly capacity: number) {}

  add(key: string): void {
    this.keys.add(key);
    if (this.keys.size > this.capacity) {
      const [oldest] = this.keys;
      this.keys.delete(oldest ?? key);
    }
  }

  has(key: string): boolean {
    return this.keys.has(key);
  }
}
