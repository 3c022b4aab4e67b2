/** A format for tests in which no call is read and nothing is written. */
import {
  CallFormat,
  type CallFields,
  type ResponseFields,
} from '../src/callFormat.js';

export class UnusedFormat extends CallFormat {
  override readCall(): CallFields {
    throw new Error('no call is read');
  }

  override writeRequest(): string[] {
    return [];
  }

  override writeRemainingTime(): string[] {
    return [];
  }

  override readResponse(): ResponseFields {
    throw new Error('no response is read');
  }
}
