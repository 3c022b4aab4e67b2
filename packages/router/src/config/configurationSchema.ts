/** Schemas of the published configuration and of the items in its sections. */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Result,
} from '@lycheetally/common';
import {
  ServiceKind,
  checkConfiguration,
  type RouterConfiguration,
} from '@lycheetally/decisions';
import { z } from 'zod';
import { parseJson } from '@lycheetally/node';

export const nameSchema = z
  .string()
  .regex(
    /^[A-Za-z0-9._-]{1,64}$/,
    'use 1 to 64 letters, digits, ".", "_" or "-"',
  );

export const rankSchema = z.strictObject({
  name: nameSchema,
  urgency: z.int().min(0),
  floor: z.number().min(0).max(1),
  targetMs: z.number().positive(),
});

export const accountSchema = z.strictObject({
  name: nameSchema,
  keyHash: z.string().min(1),
  weight: z.number().positive(),
  limits: z
    .array(
      z.strictObject({
        rank: nameSchema,
        costPerSecond: z.number().positive(),
        burstCost: z.number().positive(),
      }),
    )
    .optional(),
});

export const serviceSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(ServiceKind),
  layers: z.int().min(0),
  idempotent: z.boolean(),
  accounts: z.array(nameSchema),
  checksFencing: z.boolean().optional(),
  workers: z.int().min(0).optional(),
});

export const failureDomainSchema = z.strictObject({
  name: nameSchema,
  region: nameSchema,
});

export const configurationSchema = z.strictObject({
  version: z.int().min(1),
  ranks: z.array(rankSchema),
  accounts: z.array(accountSchema),
  services: z.array(serviceSchema),
  failureDomains: z.array(failureDomainSchema).optional(),
});

/** Parses and validates a configuration. Fails with `BadMessage`. */
export const parseConfiguration = (
  text: string,
): Result<RouterConfiguration> => {
  const parsed = configurationSchema.safeParse(parseJson(text));
  const faults = parsed.success
    ? checkConfiguration(parsed.data).map(
        each => `${each.section}.${each.key}: ${each.fault}`,
      )
    : parsed.error.issues.map(
        issue =>
          `${issue.path.map(String).join('.') || 'record'}: ${issue.message}`,
      );
  if (parsed.success && faults.length === 0) {
    return Ok(parsed.data);
  }
  return Err(
    new TypedError(
      ErrorKind.BadMessage,
      `the configuration is not valid (${faults.join(', ')})`,
      'publish a corrected one',
    ),
  );
};
