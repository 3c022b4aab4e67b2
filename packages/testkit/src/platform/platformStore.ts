/**
 * Stand-in for the platform's store: tables kept as logs of keyed records, and
 * a consumer group whose every member is assigned the same partition. The tables
 * can be put back to an older copy, as a drill at the store does.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {
  bytesPerKibibyte,
  bytesPerMebibyte,
  formatAddress,
} from '@lycheetally/common';
import { startListening } from '@lycheetally/node';

/** How the store responds to requests. */
export const StoreMode = {
  Up: 'up',
  /** Responds with 503. */
  Busy: 'busy',
  /** Accepts requests and never responds. */
  Silent: 'silent',
} as const;
export type StoreMode = (typeof StoreMode)[keyof typeof StoreMode];

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
}

interface Table {
  readonly records: StoredRecord[];
  /** Offset of the oldest record that a read of changes may start from. */
  firstOffset: number;
}

/** Header of every answer: the number of the store's history. */
const eraHeader = 'Store-Era';

/** What the tables held at a moment. */
export type StoreCopy = ReadonlyMap<string, Table>;

const lengthBytes = 4;
const offsetBytes = 8;
const maxPageEntries = 3;

/** Largest answer to a read of changes that does not ask for another size, in bytes. */
const defaultReadBytes = bytesPerMebibyte;

export class PlatformStoreStandIn {
  mode: StoreMode = StoreMode.Up;
  /** Largest answer to a read of changes, in bytes; it has at least one record. */
  maxReadBytes = defaultReadBytes;
  /** Delay of each answer to a read of changes, in milliseconds. */
  readDelayMs = 0;
  /** Number of requests received, by path. */
  readonly requestCounts = new Map<string, number>();
  /**
   * Long-poll timeout in milliseconds that each read of changes asked for, by
   * table.
   */
  readonly requestedWaitsMs = new Map<string, number[]>();
  private readonly tables = new Map<string, Table>();
  private readonly pendingReads = new Set<() => void>();
  private generation = 0;
  private era = 1;
  private readonly server: Server = createServer((request, response) => {
    this.serve(request, response);
  });

  async listen(): Promise<string> {
    const bound = await startListening(this.server, {
      host: '127.0.0.1',
      port: 0,
    });
    return formatAddress(bound.unwrap());
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Appends a JSON value for a key, or a tombstone when there is no value. */
  put(table: string, key: string, value?: unknown): void {
    const bytes = value === undefined ? '' : JSON.stringify(value);
    this.putBytes(table, key, Buffer.from(bytes));
  }

  putBytes(table: string, key: string, value: Buffer): void {
    this.getTable(table).records.push({ key, value });
    for (const answerPending of [...this.pendingReads]) {
      answerPending();
    }
  }

  /**
   * Makes every earlier change unreadable, as log retention does; the newest
   * value of each key stays readable.
   */
  dropHistory(name: string): void {
    const table = this.getTable(name);
    table.firstOffset = table.records.length;
  }

  takeCopy(): StoreCopy {
    return createTables(this.tables);
  }

  /**
   * Puts the tables back to a copy: what was written since is gone, and its
   * offsets are given out again. Open connections break.
   */
  resetTo(copy: StoreCopy): void {
    this.tables.clear();
    for (const [name, table] of createTables(copy)) {
      this.tables.set(name, table);
    }
    this.era += 1;
    this.pendingReads.clear();
    this.server.closeAllConnections();
  }

  /** Returns the keys of a table that have a value. */
  listKeys(name: string): string[] {
    const { records } = this.getTable(name);
    const newest = new Map(records.map(({ key, value }) => [key, value]));
    return [...newest]
      .filter(([, value]) => value.length > 0)
      .map(([key]) => key);
  }

  private getTable(name: string): Table {
    const table = this.tables.get(name) ?? { records: [], firstOffset: 0 };
    this.tables.set(name, table);
    return table;
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    response.setHeader(eraHeader, this.era);
    const url = new URL(request.url ?? '/', 'http://store');
    const count = this.requestCounts.get(url.pathname) ?? 0;
    this.requestCounts.set(url.pathname, count + 1);
    if (url.pathname === '/log-append') {
      this.receiveAppend(
        url.searchParams.get('topic') ?? '',
        request,
        response,
      );
      return;
    }
    request.resume();
    if (this.mode === StoreMode.Silent) {
      return;
    }
    if (this.mode === StoreMode.Busy) {
      response.writeHead(503).end();
      return;
    }
    const table = url.searchParams.get('topic') ?? '';
    if (url.pathname === '/log-newest') {
      this.answerNewest(table, url.searchParams.get('after') ?? '', response);
    } else if (url.pathname === '/log-read') {
      this.answerRead(table, url.searchParams, response);
    } else {
      this.answerJoin(response);
    }
  }

  private answerNewest(
    name: string,
    after: string,
    response: ServerResponse,
  ): void {
    const { records } = this.getTable(name);
    const newest = new Map(records.map(({ key, value }) => [key, value]));
    const keys = [...newest]
      .filter(([key, value]) => value.length > 0 && key > after)
      .map(([key]) => key)
      .sort();
    const entries = keys.slice(0, maxPageEntries).map(key => ({
      key,
      value: newest.get(key)?.toString('base64'),
      offset: records.findLastIndex(record => record.key === key),
    }));
    answerJson(response, {
      entries,
      has_more: keys.length > maxPageEntries,
      end_offset: records.length,
    });
  }

  private answerRead(
    name: string,
    query: URLSearchParams,
    response: ServerResponse,
  ): void {
    const table = this.getTable(name);
    const from = Number(query.get('from'));
    if (from < table.firstOffset || from > table.records.length) {
      answerJson(response, { first_offset: table.firstOffset }, 410);
      return;
    }
    const maxKibibytes = Number(query.get('max_kb') ?? Infinity);
    const maxBytes = Math.min(
      maxKibibytes * bytesPerKibibyte,
      this.maxReadBytes,
    );
    const answer = (): void => {
      clearTimeout(timer);
      this.pendingReads.delete(answer);
      const changes = encodeChanges(table, from, maxBytes);
      setTimeout(() => {
        response.writeHead(200).end(changes);
      }, this.readDelayMs);
    };
    const waitMs = Number(query.get('wait_ms') ?? 0);
    this.requestedWaitsMs.set(name, [
      ...(this.requestedWaitsMs.get(name) ?? []),
      waitMs,
    ]);
    const timer = setTimeout(answer, waitMs);
    if (table.records.length > from || waitMs === 0) {
      answer();
    } else {
      this.pendingReads.add(answer);
    }
  }

  private receiveAppend(
    name: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      if (this.mode === StoreMode.Up) {
        const record = Buffer.concat(chunks).subarray(lengthBytes);
        const keyEnd = 1 + (record[0] ?? 0);
        const key = record.toString('utf8', 1, keyEnd);
        this.putBytes(name, key, record.subarray(keyEnd));
        const end = this.getTable(name).records.length;
        answerJson(response, { offset: end - 1, end_offset: end });
      } else if (this.mode === StoreMode.Busy) {
        response.writeHead(503).end();
      }
    });
  }

  private answerJoin(response: ServerResponse): void {
    this.generation += 1;
    answerJson(response, {
      generation: this.generation,
      ttl_ms: 3_000,
      parts: [['duty-0', 0, 0]],
    });
  }
}

const createTables = (tables: StoreCopy): Map<string, Table> =>
  new Map(
    [...tables].map(([name, { records, firstOffset }]) => [
      name,
      { records: [...records], firstOffset },
    ]),
  );

const answerJson = (
  response: ServerResponse,
  body: unknown,
  status = 200,
): void => {
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify(body));
};

/** Encodes the records from an offset on that fit into the limit, and at least one. */
const encodeChanges = (
  table: Table,
  from: number,
  maxBytes: number,
): Buffer => {
  const head = Buffer.alloc(2 * offsetBytes);
  head.writeBigUInt64BE(BigInt(table.records.length), 0);
  head.writeBigUInt64BE(BigInt(table.firstOffset), offsetBytes);
  const parts: Buffer[] = [head];
  let size = head.length;
  for (const record of table.records.slice(from)) {
    const encoded = encodeRecord(record);
    size += encoded.length;
    if (size > maxBytes && parts.length > 1) {
      break;
    }
    parts.push(encoded);
  }
  return Buffer.concat(parts);
};

const encodeRecord = ({ key, value }: StoredRecord): Buffer => {
  const keyBytes = Buffer.from(key);
  const record = Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    value,
  ]);
  const length = Buffer.alloc(lengthBytes);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
};
