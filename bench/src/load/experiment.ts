/**
 * The file that describes an experiment: traffic, phases and faults.
 *
 * The format is INI, as for every settings file. Sections `traffic.NAME`,
 * `phase.NAME` and `fault.NAME` may occur any number of times; phases run in the
 * order of the file.
 */
import {
  ErrorKind,
  TypedError,
  readSettings,
  type Result,
  type ValueOf,
} from '@lycheetally/common';
import { fleetNames } from '@lycheetally/testkit';
import { z } from 'zod';

/** How the rate of a traffic changes during a phase. */
export const LoadProfile = {
  /** The base rate throughout. */
  Poisson: 'poisson',
  /** Alternates between the raised and the base rate every half second. */
  Burst: 'burst',
  /** Rises to the raised rate by the middle of the phase and falls again. */
  Storm: 'storm',
  /** The raised rate throughout. */
  Flood: 'flood',
} as const;
export type LoadProfile = ValueOf<typeof LoadProfile>;

/** What a fault does to a process of the stand-in fleet. */
export const FaultAction = {
  Kill: 'kill',
  Stop: 'stop',
  Freeze: 'freeze',
  Thaw: 'thaw',
} as const;
export type FaultAction = ValueOf<typeof FaultAction>;

const createNumberSchema = (min: number, max: number): z.ZodType<number> =>
  z.coerce
    .number({ error: 'write a number' })
    .min(min, `write at least ${String(min)}`)
    .max(max, `write at most ${String(max)}`);

const nameSchema = z.string().min(1, 'write a name');

const trafficSchema = z.strictObject({
  service: nameSchema,
  kind: z.enum(['model', 'plain'], { error: 'write "model" or "plain"' }),
  rank: nameSchema,
  /** Accounts with their relative shares of the requests, as `name:3,other:1`. */
  accounts: z
    .string()
    .regex(
      /^[^\s:,]+:\d+(,[^\s:,]+:\d+)*$/,
      'write name:share,name:share with whole shares',
    )
    .transform(text => text.split(',').map(parseAccountShare)),
  /** Requests per second. */
  rate: createNumberSchema(0.01, 10_000),
  /** Tokens that each request asks for. */
  tokens: createNumberSchema(1, 32_768).default(8),
  /** Request path at a plain service. */
  path: z.string().startsWith('/', 'begin the path with "/"').default('/'),
  deadlineMs: createNumberSchema(1, 86_400_000).default(10_000),
  /** Whether each call carries its own idempotency key. */
  keyed: z.enum(['yes', 'no'], { error: 'write "yes" or "no"' }).default('no'),
});

const parseAccountShare = (
  part: string,
): { account: string; share: number } => {
  const [account = '', share = '1'] = part.split(':');
  return { account, share: Number(share) };
};

const phaseSchema = z.strictObject({
  seconds: createNumberSchema(0.1, 86_400),
  profile: z
    .enum(LoadProfile, {
      error: `write one of ${Object.values(LoadProfile).join(', ')}`,
    })
    .default(LoadProfile.Poisson),
  /** The traffic that the profile applies to, or all; others keep their base rate. */
  traffic: z.string().optional(),
  /** The raised rate as a multiple of the base rate. */
  factor: createNumberSchema(1, 1_000).default(5),
});

const faultSchema = z.strictObject({
  atSeconds: createNumberSchema(0, 86_400),
  action: z.enum(FaultAction, {
    error: `write one of ${Object.values(FaultAction).join(', ')}`,
  }),
  process: nameSchema,
});

const listSchema = z
  .string()
  .transform(text => text.split(',').filter(item => item !== ''));

const experimentSchema = z.strictObject({
  experiment: z.strictObject({
    name: z
      .string()
      .regex(/^[A-Za-z0-9._-]{1,64}$/, 'use letters, digits, ".", "_" or "-"'),
    seed: createNumberSchema(0, 2 ** 31 - 1).default(1),
    /** Base URLs of entries; if empty, a fleet of stand-ins is started. */
    entries: listSchema.default([]),
    /** Addresses of these entries' operator ports, to read their ledgers. */
    operators: listSchema.default([]),
  }),
  /** Bearer keys by account; required with `entries`. */
  keys: z.record(z.string(), z.string()).default({}),
  fleet: z
    .strictObject({
      /** Names that the stand-in fleet serves; ranks in decreasing order of urgency. */
      model: nameSchema.default(fleetNames.model),
      booking: nameSchema.default(fleetNames.booking),
      stock: nameSchema.default(fleetNames.stock),
      ranks: listSchema.default([...fleetNames.ranks]),
      entries: createNumberSchema(1, 20).default(1),
      stages: createNumberSchema(1, 8).default(3),
      replicas: createNumberSchema(1, 20).default(2),
      plainServers: createNumberSchema(0, 20).default(1),
      stepMs: createNumberSchema(0, 10_000).default(2),
      plainMs: createNumberSchema(0, 10_000).default(5),
      slots: createNumberSchema(1, 1_000).default(16),
    })
    .prefault({}),
  traffic: z.record(z.string(), trafficSchema),
  phase: z.record(z.string(), phaseSchema),
  fault: z.record(z.string(), faultSchema).default({}),
});

/** An experiment that satisfies the schema. */
export type Experiment = z.output<typeof experimentSchema>;
export type Traffic = z.output<typeof trafficSchema>;
export type Phase = z.output<typeof phaseSchema>;

/** Reads an experiment. Fails with `BadSetting`. */
export const readExperiment = (path: string): Result<Experiment> =>
  readSettings(path, experimentSchema);

/** Checks references between sections, which the schema cannot. Throws `BadSetting`. */
export const checkExperiment = (experiment: Experiment): void => {
  const errors = listErrors(experiment);
  if (errors.length > 0) {
    throw new TypedError(
      ErrorKind.BadSetting,
      errors.join(' | '),
      'correct the experiment and start it again',
    );
  }
};

const listErrors = (experiment: Experiment): string[] => {
  const { entries, operators } = experiment.experiment;
  const unknownTraffic = Object.entries(experiment.phase).flatMap(
    ([name, phase]) =>
      phase.traffic === undefined || phase.traffic in experiment.traffic
        ? []
        : [`phase.${name}.traffic: traffic "${phase.traffic}" does not exist`],
  );
  const missingKeys = listAccounts(experiment).flatMap(account =>
    entries.length === 0 || account in experiment.keys
      ? []
      : [`keys.${account}: write the bearer key of the account`],
  );
  const unmatchedOperators =
    operators.length > 0 && operators.length !== entries.length
      ? ['experiment.operators: write one address for each entry']
      : [];
  const unsupportedFaults =
    entries.length > 0 && Object.keys(experiment.fault).length > 0
      ? ['fault: faults work only on stand-ins; leave experiment.entries out']
      : [];
  return [
    ...unknownTraffic,
    ...missingKeys,
    ...unmatchedOperators,
    ...unsupportedFaults,
  ];
};

/** Lists the client accounts that an experiment sends requests for. */
export const listAccounts = (experiment: Experiment): string[] => [
  ...new Set(
    Object.values(experiment.traffic).flatMap(traffic =>
      traffic.accounts.map(share => share.account),
    ),
  ),
];
