/** HTTP client of a plain service. */
import {
  Agent,
  request,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import { TypedError, toMessage } from '@lycheetally/common';
import type { Offer } from '@lycheetally/protocol';
import {
  BackendPort,
  BackendRun,
  type BackendListener,
} from '../ports/backend.js';
import { readBody } from '@lycheetally/node';
import { getFailureKind } from './backendError.js';

/** The largest response body that is accepted from a plain service, in bytes. */
const maxPlainAnswerBytes = 8 * 1_024 * 1_024;

class PlainRun extends BackendRun {
  private isFinished = false;

  constructor(
    private readonly outgoing: ClientRequest,
    private readonly listener: BackendListener,
  ) {
    super();
    outgoing.on('error', thrown => {
      this.fail(thrown);
    });
    outgoing.on('response', response => {
      void this.readResponse(response);
    });
  }

  override pushActivations(): void {
    throw new Error('A plain service does not accept activations');
  }

  override pushToken(): void {
    throw new Error('A plain service does not accept tokens');
  }

  override end(): void {
    this.isFinished = true;
  }

  override cancel(): void {
    this.isFinished = true;
    this.outgoing.destroy();
  }

  private async readResponse(response: IncomingMessage): Promise<void> {
    try {
      const body = await readBody(response, maxPlainAnswerBytes);
      if (this.isFinished) {
        return;
      }
      this.isFinished = true;
      this.listener.receiveAnswer({
        status: response.statusCode ?? 0,
        contentType: response.headers['content-type'] ?? '',
        body,
      });
    } catch (thrown) {
      this.fail(thrown);
    }
  }

  private fail(thrown: unknown): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    this.outgoing.destroy();
    this.listener.handleFailure(
      new TypedError(
        getFailureKind(thrown),
        `the service failed (${toMessage(thrown)})`,
        'check whether the service ran the request before sending it again',
      ),
    );
  }
}

export class HttpPlainService extends BackendPort {
  private readonly agent = new Agent({ keepAlive: true });

  constructor(private readonly baseUrl: string) {
    super();
  }

  override startRun(offer: Offer, listener: BackendListener): BackendRun {
    const work = offer.plain;
    const outgoing = request(`${this.baseUrl}${work?.path ?? '/'}`, {
      method: work?.method ?? 'GET',
      agent: this.agent,
      headers: {
        'x-request-id': offer.requestId,
        'x-attempt': String(offer.attempt),
        'content-type': work?.contentType ?? 'application/octet-stream',
      },
    });
    outgoing.end(work?.body);
    return new PlainRun(outgoing, listener);
  }

  override dispose(): void {
    this.agent.destroy();
  }
}
