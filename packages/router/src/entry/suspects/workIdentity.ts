/**
 * Identifies work that comes again: the same service, account and content, whatever
 * its request id.
 *
 * The digest of the content is computed only when its server crashed or when work with
 * the same outline has crashed one, since bodies may be large and requests many.
 */
import { createHash } from 'node:crypto';
import type { CallerRequest } from '../requestContext.js';

type WorkContent = Pick<
  CallerRequest,
  'service' | 'account' | 'plain' | 'model'
>;

const digestAlgorithm = 'sha256';

export class WorkIdentity {
  private knownOutline: string | undefined;
  private knownId: string | undefined;

  constructor(private readonly content: WorkContent) {}

  /** All but the bytes of the content; different work may share it. */
  get outline(): string {
    this.knownOutline ??= formatOutline(this.content);
    return this.knownOutline;
  }

  get id(): string {
    this.knownId ??= createHash(digestAlgorithm)
      .update(this.outline)
      .update(this.content.plain?.body ?? this.content.model?.prompt ?? '')
      .digest('hex');
    return this.knownId;
  }
}

const formatOutline = ({
  service,
  account,
  plain,
  model,
}: WorkContent): string =>
  JSON.stringify([
    service.name,
    account,
    plain?.method,
    plain?.path,
    plain?.contentType,
    plain?.body.length,
    model?.maxTokens,
    model?.prompt.length,
  ]);
