/**
 * The format of chart files: a subset of XState's machine definitions.
 *
 * A file holds states with `on`, `guard`, `actions`, `entry`, `exit`, `after`,
 * nested states and final states. `meta.events` declares every event, so that
 * a misspelt name is found when the file is loaded. `meta.endDelays` names the delays that end
 * work: their timers go before other events, as the end of a caller does.
 */
import { z } from 'zod';

const nameList = z
  .union([z.string().min(1), z.array(z.string().min(1))])
  .transform(names => (typeof names === 'string' ? [names] : names));

const transitionObject = z.strictObject({
  target: z.string().min(1).optional(),
  guard: z.string().min(1).optional(),
  actions: nameList.optional(),
  /** Exits and re-enters the target when it is active already. */
  reenter: z.boolean().optional(),
});

const transitionList = z
  .union([z.string().min(1), transitionObject, z.array(transitionObject)])
  .transform(value => {
    if (typeof value === 'string') {
      return [{ target: value }];
    }
    return Array.isArray(value) ? value : [value];
  });

/** A transition of a state. */
export type TransitionDefinition = z.output<typeof transitionObject>;

/** One state of a chart file. */
export interface StateDefinition {
  readonly type?: 'final' | undefined;
  readonly initial?: string | undefined;
  readonly description?: string | undefined;
  readonly entry?: readonly string[] | undefined;
  readonly exit?: readonly string[] | undefined;
  readonly on?: Readonly<Record<string, TransitionDefinition[]>> | undefined;
  readonly after?: Readonly<Record<string, TransitionDefinition[]>> | undefined;
  readonly states?: Readonly<Record<string, StateDefinition>> | undefined;
}

const stateShape = {
  description: z.string().optional(),
  initial: z.string().optional(),
  entry: nameList.optional(),
  exit: nameList.optional(),
  on: z.record(z.string(), transitionList).optional(),
  after: z.record(z.string(), transitionList).optional(),
};

const stateSchema: z.ZodType<StateDefinition> = z.strictObject({
  ...stateShape,
  type: z.literal('final').optional(),
  get states() {
    return z.record(z.string(), stateSchema).optional();
  },
});

/** Schema of a whole chart file. */
export const chartSchema = z.strictObject({
  ...stateShape,
  id: z.string().min(1),
  initial: z.string().min(1),
  meta: z.strictObject({
    events: z.array(z.string().min(1)),
    /** Delays whose timers end work, and go before other events that wait. */
    endDelays: z.array(z.string().min(1)).optional(),
  }),
  states: z.record(z.string(), stateSchema),
});

/** A parsed chart file. */
export type ChartDefinition = z.output<typeof chartSchema>;
