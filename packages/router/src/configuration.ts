/** The published configuration: its schema and its check. */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Result,
} from '@lycheetally/common';
import { ServiceKind, type RouterConfiguration } from '@lycheetally/decisions';
import { z } from 'zod';
import { parseJson } from './adapters/httpClient.js';

const nameSchema = z.string().regex(/^[A-Za-z0-9._-]{1,64}$/);

export const configurationSchema = z.strictObject({
  version: z.int().min(1),
  ranks: z
    .array(
      z.strictObject({
        name: nameSchema,
        urgency: z.int().min(0),
        floor: z.number().min(0).max(1),
        targetMs: z.number().positive(),
      }),
    )
    .min(1),
  accounts: z.array(
    z.strictObject({
      name: nameSchema,
      keyHash: z.string().min(1),
      weight: z.number().positive(),
    }),
  ),
  services: z.array(
    z.strictObject({
      name: nameSchema,
      kind: z.enum(ServiceKind),
      layers: z.int().min(0),
      idempotent: z.boolean(),
      accounts: z.array(nameSchema),
    }),
  ),
});

/** Parses a configuration record. Fails with `BadMessage`. */
export const parseConfiguration = (
  text: string,
): Result<RouterConfiguration> => {
  const parsed = configurationSchema.safeParse(parseJson(text));
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const faults = parsed.error.issues.map(
    issue =>
      `${issue.path.map(String).join('.') || 'record'}: ${issue.message}`,
  );
  return Err(
    new TypedError(
      ErrorKind.BadMessage,
      `the configuration record is not valid (${faults.join(', ')})`,
      'publish a corrected one',
    ),
  );
};
