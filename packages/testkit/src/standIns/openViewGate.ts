/** A view gate for tests without an event loop. */
import { ViewGate } from '@lycheetally/node';

/** Runs each action at once. */
export class OpenViewGate extends ViewGate {
  override run(action: () => void): void {
    action();
  }
}
