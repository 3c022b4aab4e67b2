/** Stand-in for the platform's store that answers reads in parts, as the page on the store says: a read of changes returns `max_kb` at most. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { formatAddress } from '@lycheetally/common';
import { startListening } from '@lycheetally/node';

/** Default of `max_kb`. */
const maxReadKilobytes = 1_024;

/** `read_mb_per_s` of the settings, in bytes a millisecond. */
const readBytesPerMs = 80_000;

/** Time of an answer, as the sheet says. */
const answerMs = 4;

const maxPageBytes = 1_048_576;
const lengthBytes = 4;

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
}

export class LogStore {
  /** Reads of changes, by topic: how many were answered in part. */
  readonly partialReads = new Map<string, number>();
  private readonly topics = new Map<string, StoredRecord[]>();
  private readonly waiting = new Set<() => void>();
  private readonly members = new Map<string, number>();
  private generation = 1;
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

  /** Appends a record of a keyed topic, as the operator and the workers do; its return is the ack. */
  put(topic: string, key: string, value: unknown): void {
    this.append(topic, { key, value: Buffer.from(JSON.stringify(value)) });
  }

  private append(topic: string, record: StoredRecord): void {
    this.getRecords(topic).push(record);
    for (const answerWaiting of [...this.waiting]) {
      answerWaiting();
    }
  }

  private getRecords(topic: string): StoredRecord[] {
    const records = this.topics.get(topic) ?? [];
    this.topics.set(topic, records);
    return records;
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const url = new URL(request.url ?? '/', 'http://store');
      this.handleCall(url, Buffer.concat(chunks), response);
    });
  }

  private handleCall(url: URL, body: Buffer, response: ServerResponse): void {
    const topic = url.searchParams.get('topic') ?? '';
    switch (url.pathname) {
      case '/log-append': {
        const keyEnd = lengthBytes + 1 + (body[lengthBytes] ?? 0);
        const key = body.toString('utf8', lengthBytes + 1, keyEnd);
        this.append(topic, { key, value: body.subarray(keyEnd) });
        const end = this.getRecords(topic).length;
        sendJson(response, { offset: end - 1, end_offset: end });
        break;
      }
      case '/log-newest':
        this.answerNewest(topic, url.searchParams.get('after') ?? '', response);
        break;
      case '/log-read':
        this.answerRead(topic, url.searchParams, response);
        break;
      case '/log-join':
        this.answerJoin(body, response);
        break;
      default:
        sendJson(response, {});
    }
  }

  private answerNewest(
    topic: string,
    after: string,
    response: ServerResponse,
  ): void {
    const records = this.getRecords(topic);
    const newest = new Map(
      records.map((record, offset) => [record.key, { record, offset }]),
    );
    const keys = [...newest.keys()].filter(key => key > after).sort();
    const entries: unknown[] = [];
    let bytes = 0;
    for (const key of keys) {
      const found = newest.get(key);
      const value = found?.record.value.toString('base64') ?? '';
      bytes += value.length;
      if (entries.length > 0 && bytes > maxPageBytes) {
        break;
      }
      entries.push({ key, value, offset: found?.offset });
    }
    sendJson(response, {
      entries,
      has_more: entries.length < keys.length,
      end_offset: records.length,
    });
  }

  private answerRead(
    topic: string,
    query: URLSearchParams,
    response: ServerResponse,
  ): void {
    const records = this.getRecords(topic);
    const from = Number(query.get('from'));
    const maxBytes = Number(query.get('max_kb') ?? maxReadKilobytes) * 1_024;
    const answer = (): void => {
      clearTimeout(timer);
      this.waiting.delete(answer);
      const parts = takeRecords(records, from, maxBytes);
      if (from + parts.length < records.length) {
        const count = this.partialReads.get(topic) ?? 0;
        this.partialReads.set(topic, count + 1);
      }
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(records.length), 0);
      const bytes = Buffer.concat([head, ...parts]);
      setTimeout(
        () => {
          response.writeHead(200, { 'Store-Era': '1' }).end(bytes);
        },
        answerMs + bytes.length / readBytesPerMs,
      );
    };
    const waitMs = Number(query.get('wait_ms') ?? 0);
    const timer = setTimeout(answer, waitMs);
    if (records.length > from || waitMs === 0) {
      answer();
    } else {
      this.waiting.add(answer);
    }
  }

  /** Gives the partitions of all topics to the first member that joined. */
  private answerJoin(body: Buffer, response: ServerResponse): void {
    const { member, topics } = JSON.parse(body.toString()) as {
      member: string;
      topics: string[];
    };
    if (!this.members.has(member)) {
      this.generation += 1;
      this.members.set(member, this.members.size);
    }
    const isFirst = this.members.get(member) === 0;
    const parts = topics.flatMap(topic =>
      Array.from({ length: 12 }, (_, part) => [topic, part, 0]),
    );
    sendJson(response, {
      generation: this.generation,
      parts: isFirst ? parts : [],
    });
  }
}

/** Returns whole records of at most so many bytes, but at least one. */
const takeRecords = (
  records: readonly StoredRecord[],
  from: number,
  maxBytes: number,
): Buffer[] => {
  const taken: Buffer[] = [];
  let bytes = 0;
  for (const { key, value } of records.slice(from)) {
    const keyBytes = Buffer.from(key);
    const length = 1 + keyBytes.length + value.length;
    bytes += lengthBytes + length;
    if (taken.length > 0 && bytes > maxBytes) {
      break;
    }
    const prefix = Buffer.alloc(lengthBytes + 1);
    prefix.writeUInt32BE(length);
    prefix.writeUInt8(keyBytes.length, lengthBytes);
    taken.push(Buffer.concat([prefix, keyBytes, value]));
  }
  return taken;
};

const sendJson = (response: ServerResponse, json: unknown): void => {
  setTimeout(() => {
    response.writeHead(200, {
      'Content-Type': 'application/json',
      'Store-Era': '1',
    });
    response.end(JSON.stringify(json));
  }, answerMs);
};
