/** Requests to backend servers that cannot be formed. */
import { expect, it } from 'vitest';
import { OpenViewGate } from '@lycheetally/testkit';
import {
  BackendListener,
  type BackendFailure,
  type BackendHead,
} from '../src/backendPort.js';
import { HttpBackend } from '../src/httpBackend.js';
import { UnusedFormat } from './unusedFormat.js';

class FailureListener extends BackendListener {
  readonly failed: Promise<BackendFailure>;
  private finish: (failure: BackendFailure) => void = () => undefined;

  constructor() {
    super();
    this.failed = new Promise(resolve => {
      this.finish = resolve;
    });
  }

  override handleConnected(): void {
    throw new Error('the request cannot be sent');
  }

  override handleHead(head: BackendHead): void {
    throw new Error(`an answer came with status ${String(head.status)}`);
  }

  override handleBody(): void {
    throw new Error('an answer came');
  }

  override handleEnd(): void {
    throw new Error('an answer ended');
  }

  override handleFailure(failure: BackendFailure): void {
    this.finish(failure);
  }
}

// Guards against a call that is never answered, since sending it threw.
it.each([
  { address: '127.0.0.1:99999', headers: [], target: '/' },
  { address: '127.0.0.1:1', headers: ['X-Name', 'two\nlines'], target: '/' },
  { address: '127.0.0.1:1', headers: [], target: '/a b' },
])('a request that cannot be formed fails: $address $target', async request => {
  const backend = new HttpBackend(new UnusedFormat(), new OpenViewGate());
  const listener = new FailureListener();
  const exchange = backend.open(
    {
      ...request,
      method: 'GET',
      listTimedHeaders: () => [],
      body: Buffer.alloc(0),
      needsRecentConnection: false,
      needsNewConnection: false,
    },
    listener,
  );
  const failure = await listener.failed;
  expect(failure.isClosedByServer).toBe(false);
  exchange.close();
  backend.dispose();
});
