/** A caller that sends one call on a connection of its own and leaves when it has waited long enough. */
import { connect, type Socket } from 'node:net';
import type { ValueOf } from '@lycheetally/common';

/** Host of the routes of the bench. */
export const departuresHost = 'departures.example';

export const departuresKey = 'key-1';

/** How a caller closes its connection when it leaves. */
export const DepartureKind = {
  Close: 'close',
  Reset: 'reset',
} as const;
export type DepartureKind = ValueOf<typeof DepartureKind>;

export interface DepartingCall {
  readonly id: string;
  readonly port: number;
  /** Time that the server is to run it. */
  readonly runMs: number;
  /** Time that the call names, and after which its caller leaves, from the attempt to connect on. */
  readonly patienceMs: number;
  readonly kind: DepartureKind;
}

export class DepartingCaller {
  /** When it closed its connection without an answer, by `Date.now()`. */
  leftAt: number | undefined;
  /** Status of the answer; 0 without one. */
  status = 0;
  readonly ended: Promise<void>;
  private readonly socket: Socket;

  constructor(readonly call: DepartingCall) {
    this.socket = connect(call.port, '127.0.0.1');
    this.socket.setNoDelay(true);
    this.ended = this.run();
  }

  private run(): Promise<void> {
    const { socket, call } = this;
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        this.leave();
      }, call.patienceMs);
      socket.on('connect', () => {
        socket.write(formatDepartingCall(call));
      });
      socket.on('data', (chunk: Buffer) => {
        const [, status = '0'] = chunk.toString('latin1').split(' ');
        this.status = Number(status);
        clearTimeout(timer);
        socket.destroy();
      });
      socket.on('error', () => undefined);
      socket.on('close', () => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private leave(): void {
    this.leftAt = Date.now();
    if (this.call.kind === DepartureKind.Reset) {
      this.socket.resetAndDestroy();
    } else {
      this.socket.destroy();
    }
  }
}

const formatDepartingCall = ({
  id,
  runMs,
  patienceMs,
}: DepartingCall): string =>
  [
    `GET /look/?run=${String(runMs)} HTTP/1.1`,
    `Host: ${departuresHost}`,
    `X-Request-Id: ${id}`,
    `X-Key: ${departuresKey}`,
    `X-Time-Remaining: ${String(patienceMs)}`,
    '',
    '',
  ].join('\r\n');
