/** The messages in which gateways pass news of the store on: HTTP with JSON bodies, compressed when long. */
import { gunzipSync, gzipSync } from 'node:zlib';
import { z } from 'zod';
import type { KeyedText } from '../ports.js';
import type { NewsAnswer, NewsRequest } from './newsTable.js';

const newsPath = '/news/';

const requestSchema = z.object({
  from: z.coerce.number().int().min(0).optional(),
  era: z.coerce.number().int().min(0),
  seen: z.coerce.number().int(),
});

/** Records as pairs of key and value; a removed key has no value. */
const recordsSchema = z.array(z.tuple([z.string(), z.string().nullable()]));

const answerSchema = z.object({
  next: z.object({
    era: z.number().int().min(0),
    offset: z.number().int().min(0),
  }),
  isTrimmed: z.boolean(),
  confirmation: z.number().int(),
  ageMs: z.number().min(0),
  heldMs: z.number().min(0),
  records: recordsSchema,
});

/** Shorter bodies are not worth compressing, in characters. */
const minCompressedSize = 2_048;

/** Speed goes before size: the records of servers repeat each other, and gateways have little processor time. */
const compressionLevel = 1;

export const formatNewsPath = (table: string, request: NewsRequest): string => {
  const from =
    request.from === undefined ? '' : `from=${String(request.from)}&`;
  return `${newsPath}${table}?${from}era=${String(request.era)}&seen=${String(request.seen)}`;
};

/** Parses the target of a request; returns `undefined` if it asks for no news. */
export const parseNewsPath = (
  target: string,
): { table: string; request: NewsRequest } | undefined => {
  const [path = '', query = ''] = target.split('?', 2);
  const parsed = requestSchema.safeParse(
    Object.fromEntries(new URLSearchParams(query)),
  );
  return path.startsWith(newsPath) && parsed.success
    ? {
        table: path.slice(newsPath.length),
        request: { ...parsed.data, from: parsed.data.from },
      }
    : undefined;
};

/** An encoded body and whether it is compressed. */
export interface NewsBody {
  readonly bytes: Buffer;
  readonly isCompressed: boolean;
}

export const encodeNews = (answer: NewsAnswer): NewsBody => {
  const records = answer.records.map(({ key, value }) => [key, value ?? null]);
  const text = JSON.stringify({ ...answer, records });
  return text.length < minCompressedSize
    ? { bytes: Buffer.from(text), isCompressed: false }
    : {
        bytes: gzipSync(text, { level: compressionLevel }),
        isCompressed: true,
      };
};

/** Throws when the body is malformed or larger than the limit. */
export const decodeNews = (
  { bytes, isCompressed }: NewsBody,
  maxBytes: number,
): NewsAnswer => {
  const text = isCompressed
    ? gunzipSync(bytes, { maxOutputLength: maxBytes })
    : bytes;
  const { records, ...answer } = answerSchema.parse(
    JSON.parse(text.toString()),
  );
  return {
    ...answer,
    records: records.map(([key, value]): KeyedText => ({
      key,
      value: value ?? undefined,
    })),
  };
};
