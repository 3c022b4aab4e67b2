/** HTTP clients of the platform's log service and VM list. */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Result,
} from '@lycheetally/common';
import { z } from 'zod';
import {
  LogPort,
  VmListPort,
  VmState,
  type LogSpan,
  type VmRecord,
} from '../ports/platform.js';
import {
  requestJson,
  type JsonResponse,
  type JsonRequest,
} from '@lycheetally/node';

/** Timeout of a call to the platform, in milliseconds. */
const platformTimeoutMs = 2_000;

const logSpanSchema = z.object({
  first: z.int().min(0),
  next: z.int().min(0),
  records: z.array(z.object({ offset: z.int().min(0), value: z.string() })),
});

const appendedSchema = z.object({ offset: z.int().min(0) });

const vmListSchema = z.object({
  vms: z.array(
    z.object({
      vmId: z.string().min(1),
      agentAddress: z.string().min(1),
      failureDomain: z.string(),
      state: z.enum(VmState),
    }),
  ),
});

/** Calls the platform and validates the response against a schema. */
const callPlatform = async <T extends z.ZodType>(
  call: Omit<JsonRequest, 'timeoutMs'>,
  schema: T,
): Promise<Result<z.output<T>>> => {
  const response = await requestJson({ ...call, timeoutMs: platformTimeoutMs });
  return response.andThen(val => checkResponse(call.url, val, schema));
};

const checkResponse = <T extends z.ZodType>(
  url: string,
  response: JsonResponse,
  schema: T,
): Result<z.output<T>> => {
  const parsed = schema.safeParse(response.body);
  if (response.status === 200 && parsed.success) {
    return Ok(parsed.data);
  }
  return Err(
    new TypedError(
      ErrorKind.PlatformUnavailable,
      `${url} answered with status ${String(response.status)}`,
      'wait until the platform has recovered',
    ),
  );
};

export class HttpLog extends LogPort {
  constructor(private readonly baseUrl: string) {
    super();
  }

  override read(stream: string, from: number): Promise<Result<LogSpan>> {
    const url = `${this.getUrl(stream)}?from=${String(from)}`;
    return callPlatform({ method: 'GET', url }, logSpanSchema);
  }

  override async append(
    stream: string,
    values: readonly string[],
  ): Promise<Result<number>> {
    const response = await callPlatform(
      { method: 'POST', url: this.getUrl(stream), body: { values } },
      appendedSchema,
    );
    return response.map(appended => appended.offset);
  }

  private getUrl(stream: string): string {
    return `${this.baseUrl}/streams/${encodeURIComponent(stream)}/records`;
  }
}

/** The last VM list that was read, and its ETag. */
interface CachedVmList {
  readonly etag: string;
  readonly vms: readonly VmRecord[];
}

const notModifiedStatus = 304;

/** Reads the VM list; sends its ETag, so that an unchanged list is not sent again. */
export class HttpVmList extends VmListPort {
  private cached: CachedVmList | undefined;

  constructor(private readonly baseUrl: string) {
    super();
  }

  override async readVms(): Promise<Result<readonly VmRecord[]>> {
    const response = await requestJson({
      method: 'GET',
      url: `${this.baseUrl}/vms`,
      timeoutMs: platformTimeoutMs,
      headers: this.cached ? { 'if-none-match': this.cached.etag } : {},
    });
    if (
      response.ok &&
      response.val.status === notModifiedStatus &&
      this.cached
    ) {
      return Ok(this.cached.vms);
    }
    const list = response.andThen(val =>
      checkResponse(this.baseUrl, val, vmListSchema),
    );
    return list.map(({ vms }) => {
      const etag = response.ok ? response.val.etag : undefined;
      this.cached = etag === undefined ? undefined : { etag, vms };
      return vms;
    });
  }
}
