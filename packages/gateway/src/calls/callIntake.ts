/**
 * The calls that a gateway has read and not taken yet.
 *
 * A call is taken only once the sockets were polled again after it was read: the end of its
 * caller may have waited in the socket behind it.
 */
import type { Milliseconds } from '@lycheetally/common';
import { IntakeEnd, type IntakeOrder } from '@lycheetally/decisions';
import { TurnSource, type QueuedEvent } from '@lycheetally/node';
import type { ReceivedCall } from '../callers/callerPort.js';
import type { HttpCaller } from '../callers/httpCaller.js';

/** A call that waits to be taken. */
export interface QueuedCall {
  readonly received: ReceivedCall;
  readonly caller: HttpCaller;
  readonly queuedAt: Milliseconds;
}

export class CallIntake extends TurnSource {
  /** Calls that were read since the last turn began. */
  private read: QueuedCall[] = [];
  /** Calls that were read before the last turn; the sockets are polled after it. */
  private unpolled: QueuedCall[] = [];
  private ready: QueuedCall[] = [];

  constructor(
    private readonly order: IntakeOrder,
    private readonly takeCall: (call: QueuedCall, now: Milliseconds) => void,
  ) {
    super();
  }

  get count(): number {
    return this.read.length + this.unpolled.length + this.ready.length;
  }

  override get isWaiting(): boolean {
    return this.count > 0;
  }

  add(call: QueuedCall): void {
    this.read.push(call);
  }

  override beginTurn(): void {
    this.ready.push(...this.unpolled);
    this.unpolled = this.read;
    this.read = [];
  }

  override take(now: Milliseconds): QueuedEvent | undefined {
    const [oldest] = this.ready;
    if (!oldest) {
      return undefined;
    }
    const end = this.order.chooseEnd(oldest.queuedAt, now);
    const call =
      end === IntakeEnd.Oldest ? this.ready.shift() : this.ready.pop();
    return (
      call && {
        kind: 'call',
        queuedAt: call.queuedAt,
        run: takenAt => {
          this.takeCall(call, takenAt);
        },
      }
    );
  }
}
