/** Servers and a caller of one call without a network; each run says in its head and its events which one it is. */
import { Ok, type Result } from '@lycheetally/common';
import { ConnectionEnd } from '@lycheetally/node';
import {
  BackendExchange,
  BackendPort,
  type BackendListener,
  type BackendRequest,
} from '../src/backendPort.js';
import {
  CallFormat,
  type CallFields,
  type RequestFields,
  type ResponseFields,
} from '../src/callFormat.js';
import {
  CallerExchange,
  type BufferedResponse,
} from '../src/callers/callerPort.js';

/** Events of a whole stream. */
export const eventCount = 4;

const markHeader = 'Mark';

/** One run of the call at a server, which delivers when it is told to. */
export class FakeRun extends BackendExchange {
  connectionEnd: ConnectionEnd = ConnectionEnd.Open;
  isOpen = true;
  isPaused = false;
  isConnected = false;
  hasHead = false;
  /** Bytes that were delivered. */
  delivered = 0;

  constructor(
    readonly address: string,
    readonly mark: string,
    /** The whole answer of this run. */
    readonly text: string,
    readonly isFramed: boolean,
    private readonly isStream: boolean,
    private readonly listener: BackendListener,
  ) {
    super();
  }

  get isWhole(): boolean {
    return this.delivered === this.text.length;
  }

  /** Whether the gateway can tell from the bytes alone that the answer isn't whole. */
  get isTorn(): boolean {
    const sent = this.text.slice(0, this.delivered);
    return sent === '' || !sent.endsWith('\n\n');
  }

  override close(): void {
    this.isOpen = false;
  }

  override pause(): void {
    this.isPaused = true;
  }

  override resume(): void {
    this.isPaused = false;
  }

  acceptConnection(): void {
    if (this.isOpen && !this.isConnected) {
      this.isConnected = true;
      this.listener.handleConnected();
    }
  }

  /** Sends the head; one that turns the call away, or fails, has no body. */
  sendHead(status = 200, changes: Partial<ResponseFields> = {}): void {
    if (!this.isOpen || this.hasHead || !this.isConnected) {
      return;
    }
    this.hasHead = true;
    const fields = { ...createFields(this), ...changes };
    this.listener.handleHead({ status, statusText: 'text', fields });
    if (status !== 200) {
      this.end();
    }
  }

  sendBytes(size: number): void {
    if (this.isOpen && this.hasHead && !this.isPaused && !this.isWhole) {
      const to = Math.min(this.text.length, this.delivered + size);
      const chunk = this.text.slice(this.delivered, to);
      this.delivered = to;
      this.listener.handleBody(Buffer.from(chunk));
    }
  }

  /** Ends the answer where an end can come: whole, or where the connection alone ends it. */
  finish(): void {
    const mayEnd =
      this.isWhole || (!this.isFramed && this.isStream && this.isTorn);
    if (this.isOpen && this.hasHead && !this.isPaused && mayEnd) {
      this.end();
    }
  }

  cut(): void {
    if (this.isOpen) {
      this.isOpen = false;
      this.listener.handleFailure({ reason: 'reset', isClosedByServer: true });
    }
  }

  /** Ends as the kernel ends the connection of a killed server that has read everything. */
  cutByKill(): void {
    if (this.isFramed || !this.hasHead) {
      this.cut();
    } else if (this.isOpen && !this.isPaused) {
      this.end();
    }
  }

  private end(): void {
    this.isOpen = false;
    this.connectionEnd = this.isFramed
      ? ConnectionEnd.Open
      : ConnectionEnd.Closed;
    this.listener.handleEnd();
  }
}

const createFields = ({ mark, isFramed }: FakeRun): ResponseFields => ({
  requestId: 'r-1',
  isNotRun: false,
  isMisdirected: false,
  refusedBy: undefined,
  isAuthentic: true,
  isLeaving: false,
  serverLoad: undefined,
  limitPerSecond: undefined,
  closedForMs: undefined,
  isFramed,
  forwarded: [markHeader, mark],
});

export class FakeBackend extends BackendPort {
  readonly runs: FakeRun[] = [];

  constructor(private readonly isStream: boolean) {
    super();
  }

  override open(
    { address, headers }: BackendRequest,
    listener: BackendListener,
  ): BackendExchange {
    const mark = `${address}/${String(this.runs.length)}`;
    const text = this.isStream
      ? formatEvents(Number(headers[0]), mark)
      : `answer of ${mark}`;
    const isFramed = this.runs.length % 2 === 0;
    const run = new FakeRun(
      address,
      mark,
      text,
      isFramed,
      this.isStream,
      listener,
    );
    this.runs.push(run);
    return run;
  }

  override dispose(): void {
    this.runs.length = 0;
  }
}

/** Formats the events after the given one, with a comment between the first two. */
const formatEvents = (after: number, mark: string): string =>
  Array.from({ length: eventCount - after }, (_, at) => {
    const comment = at === 0 ? ': on\n\n' : '';
    return `${comment}id: ${String(after + at + 1)}\ndata: ${mark}\n\n`;
  }).join('');

export class FakeFormat extends CallFormat {
  override readCall(): CallFields {
    throw new Error('the call is read already');
  }

  override readResponse(): ResponseFields {
    throw new Error('the response is read already');
  }

  override writeRemainingTime(): string[] {
    return [];
  }

  override writeRequest(
    _call: CallFields,
    _method: string,
    { lastEventId = '0' }: RequestFields,
  ): string[] {
    return [lastEventId];
  }
}

/** Keeps what the caller has, and what it must never be sent. */
export class FakeCaller extends CallerExchange {
  /** Marks of the heads. */
  readonly heads: string[] = [];
  readonly faults: string[] = [];
  body = '';
  /** Whether the caller takes the answer for a whole one. */
  isComplete = false;
  isClosed = false;
  isBlocked = false;
  override hasLeft = false;
  private handleDrain: () => void = () => undefined;

  drain(): void {
    this.isBlocked = false;
    this.handleDrain();
  }

  override startResponse(
    _status: number,
    _text: string,
    headers: readonly string[],
  ): Result<void> {
    this.noteSent('a head', this.heads.length > 0);
    this.heads.push(headers[headers.indexOf(markHeader) + 1] ?? '');
    return Ok(undefined);
  }

  override write(chunk: Buffer): boolean {
    this.noteSent('bytes', this.heads.length === 0);
    this.body += chunk.toString();
    return !this.isBlocked;
  }

  override end(): void {
    this.noteSent('an end', this.heads.length === 0);
    this.isComplete = true;
    this.isClosed = true;
  }

  override sendResponse({
    status,
    text,
    headers,
    body,
  }: BufferedResponse): Result<void> {
    this.startResponse(status, text, headers);
    this.body += body.toString();
    this.isComplete = status === 200;
    this.isClosed = true;
    return Ok(undefined);
  }

  override sendError(): void {
    this.noteSent('an error', false);
    this.isClosed = true;
  }

  override closeConnection(): void {
    this.isClosed = true;
  }

  override setDrainListener(listener: () => void): void {
    this.handleDrain = listener;
  }

  private noteSent(what: string, isFault: boolean): void {
    if (isFault || this.isClosed) {
      this.faults.push(`${what} out of turn`);
    }
  }
}
