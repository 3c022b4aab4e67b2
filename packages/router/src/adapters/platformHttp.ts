/** The platform's log service and VM list over HTTP. */
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
import { callJson, type JsonCall } from './httpClient.js';

/** Milliseconds in which the platform must answer. */
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

/** Calls the platform and checks the form of its answer. */
const callPlatform = async <T extends z.ZodType>(
  call: Omit<JsonCall, 'timeoutMs'>,
  schema: T,
): Promise<Result<z.output<T>>> => {
  const answer = await callJson({ ...call, timeoutMs: platformTimeoutMs });
  if (answer.err) {
    return Err(answer.val);
  }
  const parsed = schema.safeParse(answer.val.body);
  if (answer.val.status !== 200 || !parsed.success) {
    return Err(
      new TypedError(
        ErrorKind.PlatformUnavailable,
        `${call.url} answered with status ${String(answer.val.status)}`,
        'wait until the platform has recovered',
      ),
    );
  }
  return Ok(parsed.data);
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
    const answer = await callPlatform(
      { method: 'POST', url: this.getUrl(stream), body: { values } },
      appendedSchema,
    );
    return answer.map(appended => appended.offset);
  }

  private getUrl(stream: string): string {
    return `${this.baseUrl}/streams/${encodeURIComponent(stream)}/records`;
  }
}

export class HttpVmList extends VmListPort {
  constructor(private readonly baseUrl: string) {
    super();
  }

  override async readVms(): Promise<Result<readonly VmRecord[]>> {
    const url = `${this.baseUrl}/vms`;
    const answer = await callPlatform({ method: 'GET', url }, vmListSchema);
    return answer.map(list => list.vms);
  }
}
