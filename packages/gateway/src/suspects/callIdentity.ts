/**
 * Identifies a request that comes again: the same method, path, client account, body and
 * parts of the prompt, whatever its id and its other headers. The parts but the last one,
 * which callers may name anew, describe the body. The service is kept beside the id.
 *
 * Bodies may be large and calls many, so the digest of a call is computed at most once, and
 * only when its server broke or a call with the same outline is tracked. A gateway keeps the
 * whole body of a call until the call has ended; a front end that passes bodies on without
 * keeping them gives its calls no identity, and only the parts of their prompts are tracked.
 */
import { createHash } from 'node:crypto';
import { hashText } from '@lycheetally/common';

export interface CallContent {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Client account; empty for a call without one. */
  readonly account: string;
  /** Ids of the prompt's parts, without the last one. */
  readonly parts: readonly string[];
  readonly body: Buffer;
}

/** Begins the id of a whole call; ids of parts are hexadecimal. */
export const callIdPrefix = 'call:';

const digestAlgorithm = 'sha256';

/** Hexadecimal digits of the digest in an id. */
const digestDigits = 32;

export class CallIdentity {
  private knownOutline: string | undefined;
  private knownId: string | undefined;

  constructor(private readonly content: CallContent) {}

  get bodyBytes(): number {
    return this.content.body.length;
  }

  /** Digest of all but the bytes of the body, which is cheap; different calls may share it. */
  get outline(): string {
    this.knownOutline ??= hashText(this.formatHead()).toString(16);
    return this.knownOutline;
  }

  get id(): string {
    this.knownId ??= `${callIdPrefix}${this.outline}:${this.computeDigest()}`;
    return this.knownId;
  }

  private computeDigest(): string {
    return createHash(digestAlgorithm)
      .update(this.formatHead())
      .update(this.content.body)
      .digest('hex')
      .slice(0, digestDigits);
  }

  private formatHead(): string {
    const { method, target, account, parts, body } = this.content;
    return JSON.stringify([method, target, account, parts, body.length]);
  }
}

/** Returns the outline in the id of a whole call; `undefined` for the id of a part. */
export const parseOutline = (id: string): string | undefined =>
  id.startsWith(callIdPrefix)
    ? id.slice(callIdPrefix.length).split(':', 1)[0]
    : undefined;
