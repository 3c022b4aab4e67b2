/** Runs concurrent calls against a fleet and records what the callers received. */
import { z } from 'zod';
import {
  callService,
  streamCompletion,
  type CallerAnswer,
} from '../fleet/callerClient.js';
import { fleetNames, type RouterFleet } from '../fleet/routerFleet.js';
import type { SeededRandom } from '../faults/faultPlan.js';
import type { PassRecord } from '../standIns/modelEngine.js';
import type { PlainRunRecord } from '../standIns/plainService.js';
import { waitFor } from '../standIns/standInServer.js';
import type { CallRecord, History } from './history.js';

/** Number, size and timing of the calls in one run. */
export interface LoadShape {
  /** Prefix of the call ids; unique for each run on the same fleet. */
  readonly name: string;
  readonly completions: number;
  readonly maxTokens: number;
  readonly plainCalls: number;
  /** Time span over which the calls start, in milliseconds. */
  readonly spreadMs: number;
  readonly deadlineMs: number;
}

/** Runs the calls; resolves when all have ended. */
export const runRecordedLoad = async (
  fleet: RouterFleet,
  shape: LoadShape,
  random: SeededRandom,
): Promise<CallRecord[]> => {
  const completions = Array.from({ length: shape.completions }, (_, index) =>
    runCompletion(fleet, shape, index, {
      entry: random.pickOne(fleet.entryUrls),
      startMs: random.pickInteger(shape.spreadMs),
    }),
  );
  const plainCalls = Array.from({ length: shape.plainCalls }, (_, index) =>
    runPlainCall(fleet, shape, index, {
      entry: random.pickOne(fleet.entryUrls),
      startMs: random.pickInteger(shape.spreadMs),
    }),
  );
  return Promise.all([...completions, ...plainCalls]);
};

/** Entry that a call is sent to, and when. */
interface CallStart {
  readonly entry: string;
  readonly startMs: number;
}

const runCompletion = async (
  fleet: RouterFleet,
  shape: LoadShape,
  index: number,
  start: CallStart,
): Promise<CallRecord> => {
  await waitFor(start.startMs);
  const callId = `${shape.name}-model-${String(index)}`;
  const prompt = `answer ${callId} please`;
  const { maxTokens, deadlineMs } = shape;
  const options = buildCallOptions(index, deadlineMs);
  const answer = await waitForAnswer(
    streamCompletion(start.entry, prompt, maxTokens, options),
  );
  return { kind: 'model', callId, prompt, maxTokens, answer };
};

const runPlainCall = async (
  fleet: RouterFleet,
  shape: LoadShape,
  index: number,
  start: CallStart,
): Promise<CallRecord> => {
  await waitFor(start.startMs);
  const isRepeatable = index % 2 === 1;
  const service = isRepeatable ? fleetNames.stock : fleetNames.booking;
  const callId = `${shape.name}-${service}-${String(index)}`;
  const answer = await waitForAnswer(
    callService(
      start.entry,
      service,
      '/calls',
      { callId },
      buildCallOptions(index, shape.deadlineMs),
    ),
  );
  return {
    kind: 'plain',
    callId,
    service,
    isRepeatable,
    idempotencyKey: undefined,
    answer,
  };
};

const buildCallOptions = (
  index: number,
  deadlineMs: number,
): { account: string; rank: string; deadlineMs: number } => ({
  account: fleetNames.accounts[index % fleetNames.accounts.length] ?? '',
  rank: fleetNames.ranks[index % fleetNames.ranks.length] ?? '',
  deadlineMs,
});

const waitForAnswer = async (
  pending: Promise<CallerAnswer>,
): Promise<CallerAnswer | undefined> => {
  try {
    return await pending;
  } catch {
    return undefined;
  }
};

const recordsSchema = z.object({
  passes: z.array(z.custom<PassRecord>()).optional(),
  runs: z.array(z.custom<PlainRunRecord>()).optional(),
});

/** Builds a history from the callers' records and those that the stand-ins kept. */
export const readHistory = async (
  fleet: RouterFleet,
  calls: readonly CallRecord[],
): Promise<History> => {
  const records = await Promise.all(
    [...fleet.backendUrls.values()].map(async url =>
      recordsSchema.parse(await fleet.get(`${url}/runs`)),
    ),
  );
  return {
    layers: fleet.options.layers,
    calls,
    passes: records.flatMap(record => record.passes ?? []),
    runs: records.flatMap(record => record.runs ?? []),
  };
};
