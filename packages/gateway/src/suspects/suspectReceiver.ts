/** Reads messages about suspects that other gateways send; malformed ones are refused and logged now and then. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  toMessage,
  type ComponentLogger,
  type Milliseconds,
} from '@lycheetally/common';
import { parseJson, readBody } from '@lycheetally/node';
import { malformedLogIntervalMs } from './exchangeConstants.js';
import {
  maxSuspectMessageBytes,
  parseSuspectMessage,
  type SuspectAnswer,
  type SuspectMessage,
} from './suspectMessage.js';

export interface SuspectReceiverServices {
  readonly log: ComponentLogger;
  postCompletion(run: (now: Milliseconds) => void): void;
  receiveMessage(message: SuspectMessage, now: Milliseconds): SuspectAnswer;
}

const badMessageStatus = 400;

export class SuspectReceiver {
  private refused = 0;
  private loggedAt: Milliseconds = -Infinity;

  constructor(private readonly services: SuspectReceiverServices) {}

  receive(incoming: IncomingMessage, response: ServerResponse): void {
    readBody(incoming, maxSuspectMessageBytes).then(
      body => {
        const message = parseSuspectMessage(parseJson(body.toString()));
        if (message) {
          this.answer(message, response);
        } else {
          this.refuse('it is not a message about suspects', response);
        }
      },
      (thrown: unknown) => {
        this.refuse(toMessage(thrown), response);
      },
    );
  }

  private answer(message: SuspectMessage, response: ServerResponse): void {
    this.services.postCompletion(now => {
      const answer = this.services.receiveMessage(message, now);
      const body = JSON.stringify(answer);
      response.writeHead(200, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(body),
      });
      response.end(body);
    });
  }

  private refuse(reason: string, response: ServerResponse): void {
    response.writeHead(badMessageStatus, { Connection: 'close' }).end();
    this.services.postCompletion(now => {
      this.refused += 1;
      if (now - this.loggedAt >= malformedLogIntervalMs) {
        this.loggedAt = now;
        this.services.log.warn('A message of another gateway was refused.', {
          reason,
          refused: this.refused,
        });
      }
    });
  }
}
