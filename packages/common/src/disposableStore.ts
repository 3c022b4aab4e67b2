/** Collects disposables and disposes of them in reverse order of addition. */
import type { Disposable } from './types.js';

export class DisposableStore implements Disposable {
  private items: Disposable[] = [];
  private disposed = false;

  /** Adds an item; disposes of it at once when the store has already been disposed of. */
  add<T extends Disposable>(item: T): T {
    if (this.disposed) {
      item.dispose();
      return item;
    }
    this.items.push(item);
    return item;
  }

  /** Adds a function that runs on disposal. */
  addCallback(callback: () => void): Disposable {
    return this.add({ dispose: callback });
  }

  dispose(): void {
    if (this.disposed) {
      return;
    }
    this.disposed = true;
    for (const item of this.items.reverse()) {
      item.dispose();
    }
    this.items = [];
  }
}
