/** A queue that one consumer reads as an async iterable. */

export class AsyncQueue<T> implements AsyncIterable<T> {
  private values: T[] = [];
  private wakeConsumer: (() => void) | undefined;
  private isEnded = false;

  push(value: T): void {
    if (this.isEnded) {
      return;
    }
    this.values.push(value);
    this.wakeConsumer?.();
  }

  /** Ends the iteration once every pushed value is consumed. */
  end(): void {
    this.isEnded = true;
    this.wakeConsumer?.();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<T> {
    for (;;) {
      const ready = this.values;
      this.values = [];
      yield* ready;
      if (this.isEnded && this.values.length === 0) {
        return;
      }
      await this.waitForValue();
    }
  }

  private async waitForValue(): Promise<void> {
    if (this.values.length > 0 || this.isEnded) {
      return;
    }
    await new Promise<void>(resolve => {
      this.wakeConsumer = resolve;
    });
    this.wakeConsumer = undefined;
  }
}
