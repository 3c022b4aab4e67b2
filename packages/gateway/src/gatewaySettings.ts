/** The settings of a gateway, as its INI file names them. */
import { z } from 'zod';
import { addressSchema, type ValueOf } from '@lycheetally/common';
import { RepairMode } from '@lycheetally/decisions';
import { AdmissionMode } from './waiting/callPlaces.js';

/** How chains are chosen. */
export const ChainChoice = {
  Cheapest: 'cheapest',
  Sampled: 'sampled',
} as const;
export type ChainChoice = ValueOf<typeof ChainChoice>;

export const Switch = { Off: 'off', On: 'on' } as const;

const positive = z.coerce.number().positive();

/** A template has an empty value where the platform states none. */
const optionalPositive = z.preprocess(
  value => (value === '' ? undefined : value),
  positive.optional(),
);

export const gatewaySettingsSchema = z.object({
  process: z.object({
    id: z
      .string()
      .min(1)
      .describe('Name of this process; unique in the deployment'),
    failureDomain: z.string().min(1).describe('Failure domain of the VM'),
    drainSeconds: positive.describe(
      'Seconds from the stop signal until the platform kills the process',
    ),
  }),
  listen: z.object({
    callers: addressSchema.describe('Address for callers'),
    readiness: addressSchema.describe(
      "Address of the load balancer's health check: 200 when ready, else 503",
    ),
    gateways: addressSchema
      .optional()
      .describe(
        'Address at which other gateways ask for news of the store; without it each reads the store itself',
      ),
    metrics: addressSchema
      .optional()
      .describe('Address of the metrics page, at `/metrics`'),
  }),
  limits: z
    .object({
      memoryMb: optionalPositive.describe(
        'Memory of the VM in MiB; a quarter of it, or two fifths of what is over 80 MiB, buffers requests and responses; below 256 MiB the heap of new objects stays small (256 without it)',
      ),
      maxDescriptors: optionalPositive.describe(
        'Descriptors of the VM; callers take six tenths of those that are not kept for files, or as many as their memory has room for (4096 without it)',
      ),
      maxRequestsAhead: optionalPositive.describe(
        'Requests of one connection that are parsed before the first of them is answered; the rest waits at the caller (16 without it)',
      ),
      stalledSeconds: optionalPositive.describe(
        'Seconds after which a request or an answer without progress ends (60 without it)',
      ),
    })
    .optional(),
  placement: z
    .object({
      repair: z
        .enum(RepairMode)
        .default(RepairMode.Continuous)
        .describe(
          'Whether a loss of servers is answered by one plan that is kept until it is done, or by a new plan at each interval',
        ),
    })
    .optional(),
  balance: z
    .object({
      chains: z
        .enum(ChainChoice)
        .default(ChainChoice.Cheapest)
        .describe(
          'Which chain of servers runs a call: the cheapest one, or one of a few sampled by free room',
        ),
      loadReports: z
        .enum(Switch)
        .default(Switch.Off)
        .describe(
          'Whether gateways report to one another what they have in flight; needs `gateways` in `[listen]`, and counts for sampled chains only',
        ),
    })
    .optional(),
  waiting: z
    .object({
      admission: z
        .enum(AdmissionMode)
        .default(AdmissionMode.Unlimited)
        .describe(
          'Whether calls of model services wait for a place by what their servers can do in time, or are sent as soon as they have servers',
        ),
    })
    .optional(),
  rules: z.object({
    heartbeatMs: positive.describe(
      'Milliseconds between two heartbeats of a backend server',
    ),
    revokeMs: positive.describe(
      'Milliseconds after which a revoked key must fail everywhere',
    ),
    retryRatio: z.coerce
      .number()
      .min(0)
      .max(1)
      .describe('Retries allowed per call, over all gateways'),
    retrySlack: z.coerce
      .number()
      .min(0)
      .describe(
        'Retries allowed in a window in addition to the ratio, over all gateways',
      ),
    retryWindowSeconds: positive.describe(
      'Length of the window in which retries are counted, in seconds',
    ),
  }),
});

export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
