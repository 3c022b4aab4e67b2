/** Backend servers in memory; the test triggers each computation step. */
import type { Offer } from '@lycheetally/protocol';
import {
  embedToken,
  applyLayers,
  formatToken,
  pickToken,
  tokenizePrompt,
  type LayerCache,
  type PassRecord,
  type PlainRunRecord,
} from '@lycheetally/testkit';
import {
  BackendPort,
  BackendRun,
  SlotQueue,
  type BackendListener,
  type QueuedWork,
  type StageActivations,
  type StageToken,
} from '../src/index.js';

/** Record of what the backend servers of a system ran. */
export interface BackendRecords {
  readonly passes: PassRecord[];
  readonly runs: PlainRunRecord[];
  /** Pending computation steps. */
  readonly steps: (() => void)[];
}

const bytesPerState = 4;

class FakeEngineRun extends BackendRun {
  private readonly cache: LayerCache = new Map();
  private generated: number;
  private isEnded = false;

  constructor(
    private readonly records: BackendRecords,
    private readonly offer: Offer,
    private readonly layers: number,
    private readonly listener: BackendListener,
  ) {
    super();
    const { model, stageIndex } = offer;
    this.generated = model?.generated.length ?? 0;
    if (model && stageIndex === 0) {
      const tokens = [...tokenizePrompt(model.prompt), ...model.generated];
      this.enqueueSpan(0, tokens.map(embedToken));
    }
  }

  override pushActivations(activations: StageActivations): void {
    const { count, payload, position } = activations;
    const bytes = Buffer.from(payload);
    const states = Array.from({ length: count }, (_, index) =>
      bytes.readUInt32LE(index * bytesPerState),
    );
    this.enqueueSpan(position, states);
  }

  override pushToken({ tokenId, position }: StageToken): void {
    this.enqueueSpan(position, [embedToken(tokenId, position)]);
  }

  override end(): void {
    this.isEnded = true;
  }

  override cancel(): void {
    this.isEnded = true;
  }

  private enqueueSpan(position: number, states: readonly number[]): void {
    this.records.steps.push(() => {
      if (!this.isEnded) {
        this.computeSpan(position, states);
      }
    });
  }

  private computeSpan(position: number, states: readonly number[]): void {
    const stage = this.offer.stages[this.offer.stageIndex];
    const { layerFrom = 0, layerTo = 0 } = stage ?? {};
    const { requestId, attempt, epoch } = this.offer;
    const { passes } = this.records;
    const folded = states.map((state, index) => {
      passes.push({
        requestId,
        attempt,
        epoch,
        position: position + index,
        layerFrom,
        layerTo,
        at: passes.length,
      });
      return applyLayers(state, layerFrom, layerTo, this.cache);
    });
    if (layerTo === this.layers) {
      this.reportToken(position + folded.length, folded.at(-1) ?? 0);
      return;
    }
    this.listener.receiveActivations({
      position,
      count: folded.length,
      payload: Buffer.from(new Uint32Array(folded).buffer),
    });
  }

  private reportToken(position: number, state: number): void {
    const tokenId = pickToken(state);
    this.generated += 1;
    this.listener.receiveToken({
      position,
      tokenId,
      text: formatToken(tokenId),
      isEnd: this.generated >= (this.offer.model?.maxTokens ?? 0),
    });
  }
}

export class FakeEngine extends BackendPort {
  constructor(
    private readonly records: BackendRecords,
    private readonly layers: number,
  ) {
    super();
  }

  override startRun(offer: Offer, listener: BackendListener): BackendRun {
    return new FakeEngineRun(this.records, offer, this.layers, listener);
  }

  override dispose(): void {
    // Runs end with their agent.
  }
}

class FakePlainRun extends BackendRun {
  isEnded = false;

  override pushActivations(): void {
    throw new Error('A plain service takes no activations');
  }

  override pushToken(): void {
    throw new Error('A plain service takes no tokens');
  }

  override end(): void {
    this.isEnded = true;
  }

  override cancel(): void {
    this.isEnded = true;
  }
}

export class FakePlainService extends BackendPort {
  constructor(private readonly records: BackendRecords) {
    super();
  }

  override startRun(offer: Offer, listener: BackendListener): BackendRun {
    const run = new FakePlainRun();
    const { requestId, attempt, plain } = offer;
    const text = Buffer.from(plain?.body ?? []).toString('utf8');
    const body: unknown = JSON.parse(text);
    const { method = '', path = '' } = plain ?? {};
    // The call has been sent, so a cancellation comes too late to stop it.
    this.records.runs.push({ requestId, attempt, method, path, body });
    this.records.steps.push(() => {
      if (!run.isEnded) {
        const answer = Buffer.from(JSON.stringify({ path, body }));
        const contentType = 'application/json';
        listener.receiveAnswer({ status: 200, contentType, body: answer });
      }
    });
    return run;
  }

  override dispose(): void {
    // There is nothing to release.
  }
}

/** Grants slots in the order of arrival. */
export class FakeSlots extends SlotQueue {
  private readonly held = new Set<QueuedWork>();
  private queue: QueuedWork[] = [];

  constructor(private readonly slots: number) {
    super();
  }

  override enqueue(work: QueuedWork): void {
    this.queue.push(work);
    this.grantNext();
  }

  override release(work: QueuedWork): void {
    this.held.delete(work);
    this.queue = this.queue.filter(each => each !== work);
    this.grantNext();
  }

  override get running(): number {
    return this.held.size;
  }

  override get waiting(): number {
    return this.queue.length;
  }

  private grantNext(): void {
    while (this.held.size < this.slots) {
      const work = this.queue.shift();
      if (!work) {
        return;
      }
      this.held.add(work);
      work.grantSlot(work.urgency);
    }
  }
}
