/**
 * HTTP client of a model engine that runs a range of layers.
 *
 * Each request processes one sequence. Both bodies are newline-delimited JSON:
 * the agent writes a line that opens the sequence and then one line for each
 * span of positions; the engine answers each span with activations or a token.
 */
import { Agent, request, type ClientRequest } from 'node:http';
import { createInterface } from 'node:readline';
import { ErrorKind, TypedError, toMessage } from '@lycheetally/common';
import type { Offer } from '@lycheetally/protocol';
import { z } from 'zod';
import {
  BackendPort,
  BackendRun,
  type BackendListener,
  type StageActivations,
  type StageToken,
} from '../ports/backend.js';
import { findStatusFault, parseJson } from '@lycheetally/node';
import { getFailureKind } from './backendError.js';

const engineLineSchema = z.union([
  z.object({
    position: z.int(),
    count: z.int(),
    activations: z.string(),
  }),
  z.object({
    position: z.int(),
    token: z.int(),
    text: z.string(),
    end: z.boolean(),
  }),
  z.object({ error: z.string() }),
]);

const createEngineError = (kind: ErrorKind, fault: string): TypedError =>
  new TypedError(
    kind,
    `the model engine failed (${fault})`,
    'send the request again',
  );

/** One sequence that runs on an engine. */
class EngineRun extends BackendRun {
  private isFinished = false;
  private hasResponse = false;

  constructor(
    private readonly outgoing: ClientRequest,
    private readonly listener: BackendListener,
  ) {
    super();
    outgoing.on('error', thrown => {
      this.failWith(thrown);
    });
    outgoing.on('close', () => {
      if (!this.hasResponse) {
        this.fail('it closed the connection without an answer');
      }
    });
    outgoing.on('response', response => {
      this.hasResponse = true;
      const fault = findStatusFault(response.statusCode ?? 0);
      if (fault !== undefined) {
        this.fail(`the head of its answer is malformed (${fault})`);
        outgoing.destroy();
        return;
      }
      const lines = createInterface({ input: response });
      lines.on('line', line => {
        this.receiveLine(line);
      });
      lines.on('error', thrown => {
        this.failWith(thrown);
      });
      lines.on('close', () => {
        const kind = response.complete
          ? ErrorKind.BackendFailed
          : ErrorKind.BackendCrashed;
        this.fail('the engine closed the sequence', kind);
      });
      response.on('error', thrown => {
        this.failWith(thrown);
      });
    });
  }

  write(line: object): void {
    if (!this.isFinished) {
      this.outgoing.write(`${JSON.stringify(line)}\n`);
    }
  }

  override pushActivations(activations: StageActivations): void {
    this.write({
      position: activations.position,
      count: activations.count,
      activations: Buffer.from(activations.payload).toString('base64'),
    });
  }

  override pushToken(token: StageToken): void {
    this.write({ position: token.position, token: token.tokenId });
  }

  override end(): void {
    this.isFinished = true;
    this.outgoing.end();
  }

  override cancel(): void {
    this.isFinished = true;
    this.outgoing.destroy();
  }

  private receiveLine(text: string): void {
    if (this.isFinished) {
      return;
    }
    const parsed = engineLineSchema.safeParse(parseJson(text));
    if (!parsed.success) {
      this.fail('it sent a line that is not valid');
      return;
    }
    this.deliver(parsed.data);
  }

  private deliver(line: z.output<typeof engineLineSchema>): void {
    if ('error' in line) {
      this.fail(line.error);
      return;
    }
    if ('token' in line) {
      this.listener.receiveToken({
        position: line.position,
        tokenId: line.token,
        text: line.text,
        isEnd: line.end,
      });
      return;
    }
    this.listener.receiveActivations({
      position: line.position,
      count: line.count,
      payload: Buffer.from(line.activations, 'base64'),
    });
  }

  private failWith(thrown: unknown): void {
    this.fail(toMessage(thrown), getFailureKind(thrown));
  }

  private fail(fault: string, kind: ErrorKind = ErrorKind.BackendFailed): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    this.outgoing.destroy();
    this.listener.handleFailure(createEngineError(kind, fault));
  }
}

export class HttpEngine extends BackendPort {
  private readonly agent = new Agent({ keepAlive: true });

  constructor(private readonly baseUrl: string) {
    super();
  }

  override startRun(offer: Offer, listener: BackendListener): BackendRun {
    const outgoing = request(`${this.baseUrl}/v1/sequences`, {
      method: 'POST',
      agent: this.agent,
      headers: { 'content-type': 'application/x-ndjson' },
    });
    const run = new EngineRun(outgoing, listener);
    run.write({
      requestId: offer.requestId,
      attempt: offer.attempt,
      epoch: offer.epoch,
      priority: offer.enginePriority ?? offer.urgency,
      maxTokens: offer.model?.maxTokens ?? 0,
      generated: offer.model?.generated.length ?? 0,
    });
    if (offer.stageIndex === 0) {
      run.write({
        prompt: offer.model?.prompt ?? '',
        generated: offer.model?.generated ?? [],
      });
    }
    return run;
  }

  override dispose(): void {
    this.agent.destroy();
  }
}
