/** HTTP client that asks another gateway for news of the store. */
import { Agent, request } from 'node:http';
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  formatAddress,
  toMessage,
  type Address,
  type Result,
} from '@lycheetally/common';
import { readBody, readHead } from '@lycheetally/node';
import { newsTimeoutMs } from '../constants.js';
import { decodeNews, formatNewsPath } from './newsFormat.js';
import type { NewsAnswer, NewsRequest } from './newsTable.js';

/** Largest answer that is read, in bytes; a configuration with thousands of routes is smaller. */
const maxNewsBytes = 16 * 1_024 * 1_024;

/** Idle connections that are kept to one gateway; one for each table. */
const maxIdleConnections = 3;

export class NewsClient {
  private readonly agent = new Agent({
    keepAlive: true,
    maxFreeSockets: maxIdleConnections,
  });

  /** Fails with `PlatformUnavailable` if there are no fresh news in time. */
  async read(
    address: Address,
    table: string,
    newsRequest: NewsRequest,
  ): Promise<Result<NewsAnswer>> {
    try {
      const path = formatNewsPath(table, newsRequest);
      return Ok(await this.exchange(address, path));
    } catch (thrown) {
      return Err(
        new TypedError(
          ErrorKind.PlatformUnavailable,
          `the gateway at ${formatAddress(address)} has no news of ${table} (${toMessage(thrown)})`,
          'check that it runs and reaches the store',
        ),
      );
    }
  }

  dispose(): void {
    this.agent.destroy();
  }

  private async exchange(address: Address, path: string): Promise<NewsAnswer> {
    const { host, port } = address;
    const outgoing = request({
      host,
      port,
      path,
      agent: this.agent,
      signal: AbortSignal.timeout(newsTimeoutMs),
    });
    outgoing.end();
    const incoming = await readHead(outgoing);
    const bytes = await readBody(incoming, maxNewsBytes);
    if (incoming.statusCode !== 200) {
      throw new Error(`status ${String(incoming.statusCode)}`);
    }
    const isCompressed = incoming.headers['content-encoding'] === 'gzip';
    return decodeNews({ bytes, isCompressed }, maxNewsBytes);
  }
}
