/** Reads load reports that other gateways send; malformed ones are refused and logged now and then. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  toMessage,
  type ComponentLogger,
  type Milliseconds,
} from '@lycheetally/common';
import type { FlightReport, FlightSum } from '@lycheetally/decisions';
import { parseJson, readBody } from '@lycheetally/node';
import { maxMessageBytes, refusalLogIntervalMs } from './constants.js';
import { decodeReport, encodeSum } from './loadMessage.js';

export interface LoadReceiverServices {
  readonly log: ComponentLogger;
  postCompletion(run: (now: Milliseconds) => void): void;
  receiveReport(report: FlightReport, now: Milliseconds): FlightSum;
}

const badMessageStatus = 400;

export class LoadReceiver {
  private refused = 0;
  private loggedAt: Milliseconds = -Infinity;

  constructor(private readonly services: LoadReceiverServices) {}

  receive(incoming: IncomingMessage, response: ServerResponse): void {
    readBody(incoming, maxMessageBytes).then(
      body => {
        const report = decodeReport(parseJson(body.toString()));
        if (report) {
          this.answer(report, response);
        } else {
          this.refuse('it is not a load report', response);
        }
      },
      (thrown: unknown) => {
        this.refuse(toMessage(thrown), response);
      },
    );
  }

  private answer(report: FlightReport, response: ServerResponse): void {
    this.services.postCompletion(now => {
      const text = encodeSum(this.services.receiveReport(report, now));
      response.writeHead(200, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(text),
      });
      response.end(text);
    });
  }

  private refuse(reason: string, response: ServerResponse): void {
    response.writeHead(badMessageStatus, { Connection: 'close' }).end();
    this.services.postCompletion(now => {
      this.refused += 1;
      if (now - this.loggedAt >= refusalLogIntervalMs) {
        this.loggedAt = now;
        this.services.log.warn('A load report was refused.', {
          reason,
          refused: this.refused,
        });
      }
    });
  }
}
