/** How the answers of a server are delimited, and how they end before their last piece. */
import type { Socket } from 'node:net';
import {
  beginEventStream,
  endEventStream,
  formatResponseHead,
  resetConnection,
  writeChunk,
  type ReceivedRequest,
} from '@lycheetally/testkit';

/** An answer that a server writes piece by piece. */
export abstract class OpenAnswer {
  constructor(readonly request: ReceivedRequest) {}

  abstract readonly isUnframed: boolean;
  abstract begin(headers: readonly string[]): void;
  abstract write(text: string): void;
  abstract finish(): void;
}

export class ChunkedAnswer extends OpenAnswer {
  override readonly isUnframed = false;

  override begin(headers: readonly string[]): void {
    beginEventStream(this.request, headers);
  }

  override write(text: string): void {
    writeChunk(this.request, text);
  }

  override finish(): void {
    endEventStream(this.request);
  }
}

/** Has neither a length nor chunks, and ends with its connection. */
export class UnframedAnswer extends OpenAnswer {
  override readonly isUnframed = true;

  override begin(headers: readonly string[]): void {
    const all = ['Connection: close', ...headers];
    this.request.socket.write(formatResponseHead(this.request, '200 OK', all));
  }

  override write(text: string): void {
    this.request.socket.write(text);
  }

  override finish(): void {
    this.request.socket.end();
  }
}

/** How an answer ends. */
export abstract class AnswerEnding {
  abstract readonly name: string;
  /** Whether the answer ends before its last piece. */
  readonly isBreak: boolean = true;

  describe({ isUnframed }: OpenAnswer): string {
    return `${isUnframed ? 'unframed' : 'chunked'}, ${this.name}`;
  }

  /** Ends the answer, which has `next` to come, or nothing at its end. */
  abstract end(answer: OpenAnswer, next: string): void;
}

export class WholeEnding extends AnswerEnding {
  override readonly name = 'whole';
  override readonly isBreak = false;

  override end(answer: OpenAnswer): void {
    answer.finish();
  }
}

/** Sends a second answer, later, or where the answer to the next call is due. */
export class LateAnswerEnding extends WholeEnding {
  override describe(answer: OpenAnswer): string {
    const text = super.describe(answer);
    return answer.isUnframed ? text : `${text}, and a late answer`;
  }

  override end(answer: OpenAnswer): void {
    super.end(answer);
    if (!answer.isUnframed) {
      const { socket } = answer.request;
      lateAnswers.set(socket, answer);
      setTimeout(() => {
        sendLateAnswer(socket);
      }, lateAnswerMs);
    }
  }
}

const lateAnswerMs = 40;

/** Answers that are sent a second time, by connection. */
const lateAnswers = new WeakMap<Socket, OpenAnswer>();

/** Sends the late answer of the connection, if there is one; never inside another one. */
export const sendLateAnswer = (socket: Socket): void => {
  const answer = lateAnswers.get(socket);
  lateAnswers.delete(socket);
  answer?.begin([]);
  answer?.write('id: 1\ndata: a second answer\n\n');
  answer?.finish();
};

/** Resets the connection in the turn in which the last bytes are written. */
export class ResetWithBytesEnding extends AnswerEnding {
  override readonly name = 'reset with its last bytes';

  override end(answer: OpenAnswer, next: string): void {
    answer.write(next);
    resetConnection(answer.request.socket);
  }
}

export class ResetAfterBytesEnding extends AnswerEnding {
  override readonly name = 'reset after its last bytes';

  override end(answer: OpenAnswer, next: string): void {
    answer.write(next);
    setTimeout(() => {
      resetConnection(answer.request.socket);
    }, resetAfterMs);
  }
}

const resetAfterMs = 15;

/** Ends the connection in order, in the middle of an event. */
export class InsideEventEnding extends AnswerEnding {
  override readonly name = 'closed inside an event';

  override end(answer: OpenAnswer, next: string): void {
    answer.write(next.slice(0, next.length / 2));
    answer.request.socket.end();
  }
}

const whole = new WholeEnding();
const resets = [
  new ResetWithBytesEnding(),
  new ResetWithBytesEnding(),
  new ResetAfterBytesEnding(),
];

/** Endings of answers that are not streams, drawn with equal chance. */
export const plainEndings: readonly AnswerEnding[] = [
  ...Array.from({ length: 12 }, () => whole),
  new LateAnswerEnding(),
  ...resets,
];

/** Endings of streams, drawn with equal chance. */
export const streamEndings: readonly AnswerEnding[] = [
  ...plainEndings,
  new InsideEventEnding(),
];
