/**
 * Relays activations and tokens between a backend run, the neighbouring stages
 * and the entry.
 *
 * Activations go to the next stage, tokens go back towards the entry, and each
 * token starts the computation of the next position at the first stage. Single
 * tokens are not events of the state chart; their order is checked here.
 */
import type { Milliseconds } from '@lycheetally/common';
import { ErrorKind, TypedError } from '@lycheetally/common';
import {
  MessageKind,
  type Activations,
  type Token,
} from '@lycheetally/protocol';
import type { BackendListener } from '../ports/backend.js';
import {
  hasNextStage,
  type BackendEvent,
  type WorkContext,
} from './workContext.js';

/** Creates a listener that posts the reports of a run to the event loop. */
export const createBackendListener = (work: WorkContext): BackendListener => {
  const post = (event: BackendEvent): void => {
    work.services.postBackendEvent(work, event);
  };
  return {
    receiveActivations: activations => {
      post({ kind: 'activations', ...activations });
    },
    receiveToken: token => {
      post({ kind: 'token', ...token });
    },
    receiveAnswer: answer => {
      post({ kind: 'answer', answer });
    },
    handleFailure: error => {
      post({ kind: 'failure', error });
    },
  };
};

/** Handles a report of a backend run. */
export const receiveBackendEvent = (
  work: WorkContext,
  event: BackendEvent,
  now: Milliseconds,
): void => {
  if (work.instance?.isFinal !== false) {
    return;
  }
  switch (event.kind) {
    case 'activations':
      work.answeredSpans += 1;
      forwardActivations(work, event);
      return;
    case 'token':
      work.answeredSpans += 1;
      relayToken(work, createToken(work, event), now);
      return;
    case 'answer':
      work.answer = event.answer;
      work.instance.send({ type: 'BACKEND_DONE' }, now);
      return;
    case 'failure':
      failWork(work, event.error, now);
  }
};

/** Handles activations from the earlier stage. */
export const receiveActivations = (
  work: WorkContext,
  activations: Activations,
  now: Milliseconds,
): void => {
  if (activations.epoch !== work.offer.epoch) {
    return;
  }
  if (activations.position !== work.nextPosition) {
    failWork(
      work,
      createOrderError('position', activations.position, work.nextPosition),
      now,
    );
    return;
  }
  work.nextPosition = activations.position + activations.count;
  work.sentSpans += 1;
  work.run?.pushActivations(activations);
};

/** Handles a token from the next stage or, at the last stage, from its own engine. */
export const relayToken = (
  work: WorkContext,
  token: Token,
  now: Milliseconds,
): void => {
  const expectedIndex = countEarlierTokens(work) + work.generatedTokens;
  if (token.epoch !== work.offer.epoch || token.index < expectedIndex) {
    return;
  }
  if (token.index > expectedIndex) {
    failWork(work, createOrderError('token', token.index, expectedIndex), now);
    return;
  }
  work.generatedTokens += 1;
  sendTokenToOwner(work, token);
  if (token.isEnd) {
    finishSequence(work, token, now);
    return;
  }
  if (work.offer.stageIndex === 0) {
    work.sentSpans += 1;
    work.run?.pushToken(token);
  }
};

const finishSequence = (
  work: WorkContext,
  token: Token,
  now: Milliseconds,
): void => {
  const total = countEarlierTokens(work) + work.generatedTokens;
  work.promptTokens = token.position + 1 - total;
  work.finishReason =
    total >= (work.offer.model?.maxTokens ?? 0) ? 'length' : 'stop';
  work.instance?.send({ type: 'BACKEND_DONE' }, now);
};

/** Returns the number of tokens that earlier attempts delivered. */
const countEarlierTokens = (work: WorkContext): number =>
  work.offer.model?.generated.length ?? 0;

const createToken = (
  work: WorkContext,
  event: BackendEvent & { readonly kind: 'token' },
): Token => ({
  requestId: work.ref.requestId,
  attempt: work.ref.attempt,
  epoch: work.offer.epoch,
  index: countEarlierTokens(work) + work.generatedTokens,
  position: event.position,
  tokenId: event.tokenId,
  text: event.text,
  isEnd: event.isEnd,
});

/** Sends a token to the owner. The first stage also keeps it, since an entry may ask for it again. */
const sendTokenToOwner = (work: WorkContext, token: Token): void => {
  if (work.offer.stageIndex === 0) {
    work.keptTokens.push(token);
  }
  // While an entry is disconnected, tokens are only kept; it asks for them when it reconnects.
  if (!work.instance?.matches('running.orphaned')) {
    const message = { kind: MessageKind.Token, value: token };
    work.services.sendToOwner(work.ownerId, message);
  }
};

const forwardActivations = (
  work: WorkContext,
  event: BackendEvent & { readonly kind: 'activations' },
): void => {
  if (!hasNextStage(work)) {
    return;
  }
  work.nextChannel?.send({
    kind: MessageKind.Activations,
    value: {
      ...work.ref,
      epoch: work.offer.epoch,
      position: event.position,
      count: event.count,
      payload: event.payload,
    },
  });
};

const failWork = (
  work: WorkContext,
  error: TypedError,
  now: Milliseconds,
): void => {
  work.instance?.send(
    { type: 'BACKEND_FAILED', error, serverId: work.services.serverId },
    now,
  );
};

const createOrderError = (
  what: string,
  actual: number,
  expected: number,
): TypedError =>
  new TypedError(
    ErrorKind.BadMessage,
    `out-of-order ${what}: received ${String(actual)}, expected ${String(expected)}`,
    'send the request again',
  );
