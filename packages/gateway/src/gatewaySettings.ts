/** The settings of a gateway, as its INI file names them. */
import { z } from 'zod';
import { addressSchema } from '@lycheetally/common';

const positive = z.coerce.number().positive();

export const gatewaySettingsSchema = z.object({
  process: z.object({
    id: z.string().min(1),
    failureDomain: z.string().min(1),
    /** Seconds between the signal to stop and the end of the process. */
    drainSeconds: positive,
  }),
  listen: z.object({
    callers: addressSchema,
    readiness: addressSchema,
    metrics: addressSchema.optional(),
  }),
  rules: z.object({
    /** Milliseconds after which a revoked key must fail everywhere. */
    revokeMs: positive,
    /** Repeats allowed for each call, over all gateways. */
    retryRatio: z.coerce.number().min(0).max(1),
    /** Repeats allowed beside the ratio in its window, over all gateways. */
    retrySlack: z.coerce.number().min(0),
    /** Seconds of the window that the repeats are counted in. */
    retryWindowSeconds: positive,
  }),
});

export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
