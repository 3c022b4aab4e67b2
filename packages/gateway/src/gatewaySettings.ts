/** The settings of a gateway, as its INI file names them. */
import { z } from 'zod';
import { addressSchema } from '@lycheetally/common';

const positive = z.coerce.number().positive();

export const gatewaySettingsSchema = z.object({
  process: z.object({
    id: z
      .string()
      .min(1)
      .describe('Name of this process; unique in the deployment'),
    failureDomain: z
      .string()
      .min(1)
      .describe('Failure domain that the VM stands in'),
    drainSeconds: positive.describe(
      'Seconds between the signal to stop and the end that the platform forces',
    ),
  }),
  listen: z.object({
    callers: addressSchema.describe('Address for callers'),
    readiness: addressSchema.describe(
      "Address for the balancer's questions: 200 when ready, else 503",
    ),
    metrics: addressSchema
      .optional()
      .describe('Address of the metrics page, at `/metrics`'),
  }),
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
      .describe('Repeats allowed for each call, over all gateways'),
    retrySlack: z.coerce
      .number()
      .min(0)
      .describe(
        'Repeats allowed beside the ratio in a window, over all gateways',
      ),
    retryWindowSeconds: positive.describe(
      'Seconds of the window that repeats are counted in',
    ),
  }),
});

export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
