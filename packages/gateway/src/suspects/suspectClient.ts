/** HTTP client that sends records of suspects to other gateways, a bounded number of messages at once. */
import { Agent } from 'node:http';
import PQueue from 'p-queue';
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  formatAddress,
  type Address,
  type Result,
} from '@lycheetally/common';
import { requestJson } from '@lycheetally/node';
import { maxSuspectMessages, suspectTimeoutMs } from './exchangeConstants.js';
import {
  parseSuspectAnswer,
  suspectPath,
  type SuspectAnswer,
  type SuspectMessage,
} from './suspectMessage.js';

export class SuspectClient {
  private readonly agent = new Agent({ keepAlive: true, maxFreeSockets: 1 });
  private readonly queue = new PQueue({ concurrency: maxSuspectMessages });
  /** Messages as JSON; the same one goes to many gateways. */
  private readonly texts = new WeakMap<SuspectMessage, string>();

  /** Fails with `PlatformUnavailable` if the other gateway does not answer in time, and with `BadMessage` if it answers something else. */
  send(
    address: Address,
    message: SuspectMessage,
  ): Promise<Result<SuspectAnswer>> {
    return this.queue.add(() => this.exchange(address, message));
  }

  dispose(): void {
    this.queue.clear();
    this.agent.destroy();
  }

  private formatMessage(message: SuspectMessage): string {
    const text = this.texts.get(message) ?? JSON.stringify(message);
    this.texts.set(message, text);
    return text;
  }

  private async exchange(
    address: Address,
    message: SuspectMessage,
  ): Promise<Result<SuspectAnswer>> {
    const response = await requestJson({
      method: 'POST',
      url: `http://${formatAddress(address)}${suspectPath}`,
      bodyText: this.formatMessage(message),
      timeoutMs: suspectTimeoutMs,
      agent: this.agent,
    });
    if (response.err) {
      return response;
    }
    const answer =
      response.val.status === 200
        ? parseSuspectAnswer(response.val.body)
        : undefined;
    return answer ? Ok(answer) : Err(createAnswerError(address));
  }
}

const createAnswerError = (address: Address): TypedError =>
  new TypedError(
    ErrorKind.BadMessage,
    `the gateway at ${formatAddress(address)} did not answer a message about suspects`,
    'check that it runs a version that knows these messages',
  );
