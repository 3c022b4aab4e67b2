/** Posts calls from the front end to the event loop of an entry. */
import type { TypedError } from '@lycheetally/common';
import { CallersSink, type RefusedCall } from '../adapters/callersHttp.js';
import type { EventLoop } from '@lycheetally/node';
import type { CallerCall, CallerExchange } from '../ports/callerExchange.js';
import type { EntryEvents } from './entryTypes.js';

/** State of the entry that the front end reads. */
export interface CallersView {
  readonly isStopping: boolean;
  /** Lists the services that a bearer key may use. */
  listServices(bearerKey: string): readonly string[];
}

export class EntryCallersSink extends CallersSink {
  constructor(
    private readonly loop: EventLoop<EntryEvents>,
    private readonly view: CallersView,
  ) {
    super();
  }

  override receiveCall(call: CallerCall, exchange: CallerExchange): void {
    this.loop.post('callReceived', { call, exchange });
  }

  override receiveRefusedCall(call: RefusedCall, error: TypedError): void {
    this.loop.post('callRefused', { call, error });
  }

  override handleCallerDisconnected(exchange: CallerExchange): void {
    this.loop.postEnd('callerGone', { exchange });
  }

  override handleResponseEnded(): void {
    this.loop.post('responseEnded', {});
  }

  override listServices(bearerKey: string): readonly string[] {
    return this.view.listServices(bearerKey);
  }

  override isAcceptingCalls(): boolean {
    return !this.view.isStopping;
  }
}
