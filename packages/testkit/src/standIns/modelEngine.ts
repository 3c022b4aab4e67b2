/**
 * Stand-in for a model engine that holds a range of layers.
 *
 * Computes all open sequences concurrently and records each forward pass of a
 * position through its layers, for the history checker.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createInterface } from 'node:readline';
import type { Address } from '@lycheetally/common';
import { parseJson, sendJson } from '@lycheetally/router';
import { z } from 'zod';
import {
  embedToken,
  applyLayers,
  formatToken,
  pickToken,
  tokenizePrompt,
  type LayerCache,
} from './modelMath.js';
import { StandInServer, waitFor } from './standInServer.js';

/** Layer range and speed of an engine stand-in. */
export interface ModelEngineOptions {
  readonly layerFrom: number;
  readonly layerTo: number;
  /** Number of layers of the whole model. */
  readonly layers: number;
  /** Duration of one decode step of this stage, in milliseconds. */
  readonly stepMs: number;
  /** Extra time for each position after the first in one input, in microseconds. */
  readonly positionUs: number;
}

/** The forward pass of one position through an engine's layers. */
export interface PassRecord {
  readonly requestId: string;
  readonly attempt: number;
  readonly epoch: number;
  readonly position: number;
  readonly layerFrom: number;
  readonly layerTo: number;
  /** Time on the host's monotonic clock, in microseconds. */
  readonly at: number;
}

const openSchema = z.object({
  requestId: z.string(),
  attempt: z.int(),
  epoch: z.int(),
  priority: z.int(),
  maxTokens: z.int(),
  generated: z.int(),
});

const inputSchema = z.union([
  z.object({ prompt: z.string(), generated: z.array(z.int()) }),
  z.object({ position: z.int(), token: z.int() }),
  z.object({ position: z.int(), count: z.int(), activations: z.string() }),
]);

type OpenLine = z.output<typeof openSchema>;
type InputLine = z.output<typeof inputSchema>;

interface Sequence {
  readonly openLine: OpenLine;
  readonly cache: LayerCache;
  generated: number;
}

const readMicroseconds = (): number =>
  Number(process.hrtime.bigint() / nanosecondsPerMicrosecond);
const nanosecondsPerMicrosecond = 1_000n;
const microsecondsPerMillisecond = 1_000;
const maxPassRecords = 500_000;

export class ModelEngineStandIn {
  private readonly server = new StandInServer();
  private readonly passes: PassRecord[] = [];
  private openSequences = 0;

  constructor(private readonly options: ModelEngineOptions) {
    this.server.addRoute('GET', '/runs', (_, response) => {
      sendJson(response, 200, { passes: this.passes });
    });
    this.server.addRoute('GET', '/v1/load', (_, response) => {
      sendJson(response, 200, { sequences: this.openSequences });
    });
    this.server.addRoute('POST', '/v1/sequences', (request, response) =>
      this.serveSequence(request, response),
    );
  }

  listen(address: Address): Promise<string> {
    return this.server.listen(address);
  }

  /** Stops accepting connections and waits for the open calls. */
  close(): Promise<void> {
    return this.server.close();
  }

  dispose(): void {
    this.server.dispose();
  }

  private async serveSequence(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    response.setHeader('content-type', 'application/x-ndjson');
    response.flushHeaders();
    this.openSequences += 1;
    let sequence: Sequence | undefined;
    try {
      for await (const line of createInterface({ input: request })) {
        if (!sequence) {
          const open = openSchema.parse(parseJson(line));
          sequence = {
            openLine: open,
            cache: new Map(),
            generated: open.generated,
          };
          continue;
        }
        await this.computeLine(sequence, line, response);
      }
    } catch {
      // The agent has cancelled the sequence.
    }
    this.openSequences -= 1;
    response.end();
  }

  private async computeLine(
    sequence: Sequence,
    line: string,
    response: ServerResponse,
  ): Promise<void> {
    const input = inputSchema.parse(parseJson(line));
    const { position, states } = decodeInputStates(input);
    await this.waitForCompute(states.length);
    const outputStates = states.map((state, index) =>
      this.computePass(sequence, position + index, state),
    );
    const output = this.isLastStage
      ? this.formatTokenLine(
          sequence,
          position + outputStates.length,
          outputStates,
        )
      : {
          position,
          count: outputStates.length,
          activations: encodeStates(outputStates),
        };
    response.write(`${JSON.stringify(output)}\n`);
  }

  private async waitForCompute(positions: number): Promise<void> {
    const { stepMs, positionUs } = this.options;
    const extraMs = ((positions - 1) * positionUs) / microsecondsPerMillisecond;
    if (stepMs + extraMs > 0) {
      await waitFor(stepMs + extraMs);
    }
  }

  private computePass(
    sequence: Sequence,
    position: number,
    state: number,
  ): number {
    const { layerFrom, layerTo } = this.options;
    const { requestId, attempt, epoch } = sequence.openLine;
    if (this.passes.length < maxPassRecords) {
      this.passes.push({
        requestId,
        attempt,
        epoch,
        position,
        layerFrom,
        layerTo,
        at: readMicroseconds(),
      });
    }
    return applyLayers(state, layerFrom, layerTo, sequence.cache);
  }

  private formatTokenLine(
    sequence: Sequence,
    position: number,
    states: readonly number[],
  ): object {
    const token = pickToken(states.at(-1) ?? 0);
    sequence.generated += 1;
    return {
      position,
      token,
      text: formatToken(token),
      end: sequence.generated >= sequence.openLine.maxTokens,
    };
  }

  private get isLastStage(): boolean {
    return this.options.layerTo === this.options.layers;
  }
}

const decodeInputStates = (
  input: InputLine,
): { position: number; states: number[] } => {
  if ('prompt' in input) {
    const tokens = [...tokenizePrompt(input.prompt), ...input.generated];
    return { position: 0, states: tokens.map(embedToken) };
  }
  if ('token' in input) {
    const { position, token } = input;
    return { position, states: [embedToken(token, position)] };
  }
  const bytes = Buffer.from(input.activations, 'base64');
  const states = Array.from({ length: input.count }, (_, index) =>
    bytes.readUInt32LE(index * bytesPerState),
  );
  return { position: input.position, states };
};

const bytesPerState = 4;

const encodeStates = (states: readonly number[]): string => {
  const bytes = Buffer.alloc(states.length * bytesPerState);
  states.forEach((state, index) => {
    bytes.writeUInt32LE(state, index * bytesPerState);
  });
  return bytes.toString('base64');
};
