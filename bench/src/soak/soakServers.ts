/** Backend servers of a soak: each draws its responses from a seed and records the calls that it ran. */
import {
  BackendServerStandIn,
  SeededRandom,
  sendResponse,
  beginEventStream,
  endEventStream,
  formatResponseHead,
  writeChunk,
  type ReceivedRequest,
} from '@lycheetally/testkit';
import { formatSoakEvent } from './soakEvents.js';
import { SoakKind, isDeadly, type SoakRun } from './types.js';

/** How a server responds to a request. */
const ResponseMode = {
  Answer: 'answer',
  DelayAnswer: 'delay the answer',
  Refuse: 'refuse',
  Fail: 'fail',
  DropAnswer: 'close the connection without an answer',
  TruncateAnswer: 'truncate the answer',
  AppendBytes: 'send bytes after the answer',
  ReturnOtherId: 'return the id of another call',
} as const;

/** Drawn with equal chance, so that most requests get a correct answer. */
const responseModes = [
  ...Array.from({ length: 14 }, () => ResponseMode.Answer),
  ...Object.values(ResponseMode),
];

/** Milliseconds between two events of a stream. */
const eventIntervalMs = 25;
const healthPath = '/health';

/** Delay of an answer in the mode `DelayAnswer`. */
const answerDelayMs = 400;

export class SoakServer {
  readonly runs: SoakRun[] = [];
  readonly backend: BackendServerStandIn;
  /** Answers every request correctly when set. */
  isFaultFree = false;
  private isLeaving = false;
  protected leavingHeaders: readonly string[] = [];
  protected readonly random: SeededRandom;
  private received = 0;

  constructor(
    readonly serverId: string,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.backend = new BackendServerStandIn(serverId, request => {
      this.received += 1;
      const signature = `${serverId}.${String(process.pid)}.${String(this.received)}`;
      this.serve({ ...request, signature });
    });
  }

  /** Serves on, but considers itself leaving, and may say so in its answers. */
  leave(saysSo: boolean): void {
    this.isLeaving = true;
    this.leavingHeaders = saysSo ? ['Server-Leaving: 1'] : [];
  }

  private sendAnswer(
    request: ReceivedRequest,
    body: string,
    status?: string,
    headers: readonly string[] = [],
  ): void {
    const all = [...headers, ...this.leavingHeaders];
    sendResponse(request, body, status, all);
  }

  private answerHealth(request: ReceivedRequest): void {
    const status = this.isLeaving ? '503 Leaving' : '200 OK';
    this.sendAnswer(request, '', status, [`X-Instance-Id: ${this.serverId}`]);
  }

  private serve(request: ReceivedRequest): void {
    if (request.target === healthPath) {
      this.answerHealth(request);
      return;
    }
    const mode = this.isFaultFree
      ? ResponseMode.Answer
      : this.random.pickOne(responseModes);
    if (request.headers.get('x-target-instance') !== this.serverId) {
      this.sendAnswer(request, '', '421 Misdirected Request');
    } else if (isDeadly(request)) {
      this.record(request, '', false);
    } else {
      this.reply(request, mode);
    }
  }

  protected reply(request: ReceivedRequest, mode: string): void {
    if (mode === ResponseMode.Refuse) {
      this.sendAnswer(request, '', '503 Busy', ['X-Not-Executed: 1']);
    } else if (isStreamRequest(request)) {
      this.record(request, '', true);
      this.streamEvents(request, mode);
    } else {
      this.answer(request, mode);
    }
  }

  private answer(request: ReceivedRequest, mode: string): void {
    const requestId = request.headers.get('x-request-id') ?? '';
    const isSuccess = mode !== ResponseMode.Fail;
    const answer = `${requestId} by ${request.signature ?? ''}`;
    this.record(request, answer, isSuccess);
    switch (mode) {
      case ResponseMode.DelayAnswer:
        setTimeout(() => {
          this.sendAnswer(request, answer);
        }, answerDelayMs);
        break;
      case ResponseMode.Fail:
        this.sendAnswer(request, answer, '500 Failed');
        break;
      case ResponseMode.DropAnswer:
        request.socket.destroy();
        break;
      case ResponseMode.TruncateAnswer:
        request.socket.write(
          `${formatResponseHead(request, '200 OK', ['Content-Length: 100'])}${answer}`,
        );
        request.socket.end();
        break;
      case ResponseMode.AppendBytes:
        sendResponse(request, answer);
        sendResponse(request, 'an answer that nobody asked for');
        break;
      case ResponseMode.ReturnOtherId: {
        const headers = new Map([['x-request-id', 'another']]);
        sendResponse({ ...request, headers }, answer);
        break;
      }
      default:
        setTimeout(
          () => {
            this.sendAnswer(request, answer);
          },
          parseSteps(request) * eventIntervalMs,
        );
    }
  }

  private streamEvents(request: ReceivedRequest, mode: string): void {
    const requestId = request.headers.get('x-request-id') ?? '';
    const steps = parseSteps(request);
    const isBroken = mode !== ResponseMode.Answer;
    const breakAfter = isBroken ? this.random.pickInteger(steps) : Infinity;
    let at = Number(request.headers.get('last-event-id') ?? 0);
    let written = 0;
    beginEventStream(request, this.leavingHeaders);
    const writeNext = (): void => {
      if (request.socket.destroyed) {
        return;
      }
      if (written >= breakAfter) {
        request.socket.destroy();
        return;
      }
      if (at >= steps) {
        endEventStream(request);
        return;
      }
      at += 1;
      written += 1;
      writeChunk(
        request,
        formatSoakEvent(requestId, at, request.signature ?? ''),
      );
      setTimeout(writeNext, eventIntervalMs);
    };
    writeNext();
  }

  protected keepRun(run: SoakRun): void {
    this.runs.push(run);
  }

  protected record(
    { headers, target, body, signature = '' }: ReceivedRequest,
    answer: string,
    isSuccess: boolean,
    ending?: string,
  ): void {
    const kind = Object.values(SoakKind).find(each =>
      target.startsWith(`/${each}/`),
    );
    this.keepRun({
      requestId: headers.get('x-request-id') ?? '',
      serverId: this.serverId,
      mark: signature,
      kind: kind ?? SoakKind.Booking,
      body,
      account: headers.get('x-tenant') ?? '',
      answer,
      isSuccess,
      ending,
    });
  }
}

export const isStreamRequest = ({ target }: ReceivedRequest): boolean =>
  target.startsWith(`/${SoakKind.Stream}/`);

/** Reads the steps of a call from its path, `/KIND/STEPS`. */
export const parseSteps = ({ target }: ReceivedRequest): number =>
  Number(target.split('/').at(-1));
