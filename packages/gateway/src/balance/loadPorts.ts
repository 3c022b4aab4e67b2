/** Sends load reports to other gateways. */
import { Agent } from 'node:http';
import { formatAddress, type Address } from '@lycheetally/common';
import { requestJson } from '@lycheetally/node';
import { reportTimeoutMs } from './constants.js';
import { decodeSum, loadPath, type ReceivedSum } from './loadMessage.js';

/** Interface through which a gateway reports to another one. */
export abstract class LoadReportPort {
  /** Resolves with `undefined` if the other gateway does not answer in time, or not with a sum. */
  abstract send(
    address: Address,
    text: string,
  ): Promise<ReceivedSum | undefined>;

  abstract dispose(): void;
}

export class HttpLoadReports extends LoadReportPort {
  private readonly agent = new Agent({ keepAlive: true, maxFreeSockets: 1 });

  override async send(
    address: Address,
    text: string,
  ): Promise<ReceivedSum | undefined> {
    const response = await requestJson({
      method: 'POST',
      url: `http://${formatAddress(address)}${loadPath}`,
      bodyText: text,
      timeoutMs: reportTimeoutMs,
      agent: this.agent,
    });
    return response.ok && response.val.status === 200
      ? decodeSum(response.val.body)
      : undefined;
  }

  override dispose(): void {
    this.agent.destroy();
  }
}
