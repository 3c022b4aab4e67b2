/** A plain backend server that runs each call for the time that it names, and notes when its connection closes. */
import {
  BackendServerStandIn,
  sendResponse,
  type ReceivedRequest,
} from '@lycheetally/testkit';

/** A run of a call, with times by `Date.now()`. */
export interface DepartureRun {
  readonly id: string;
  readonly arrivedAt: number;
  /** When it ends if nobody cancels it. */
  readonly dueAt: number;
  /** When the gateway closed the connection before that. */
  cancelledAt: number | undefined;
}

export class DepartureServer {
  readonly runs: DepartureRun[] = [];
  readonly backend: BackendServerStandIn;

  constructor(serverId: string) {
    this.backend = new BackendServerStandIn(serverId, request => {
      this.run(request);
    });
  }

  private run(request: ReceivedRequest): void {
    const arrivedAt = Date.now();
    const runMs = Number(request.target.split('run=')[1]);
    const run: DepartureRun = {
      id: request.headers.get('x-request-id') ?? '',
      arrivedAt,
      dueAt: arrivedAt + runMs,
      cancelledAt: undefined,
    };
    this.runs.push(run);
    const noteCancelled = (): void => {
      run.cancelledAt = Date.now();
      clearTimeout(timer);
    };
    const timer = setTimeout(() => {
      request.socket.off('close', noteCancelled);
      sendResponse(request, 'ran');
    }, runMs);
    request.socket.once('close', noteCancelled);
  }
}
