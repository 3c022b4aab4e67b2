/** Converts between plain messages and their protobuf encoding. */
import { create } from '@bufbuild/protobuf';
import { FrameSchema, type Frame } from './gen/lycheetally/v1/peer_pb.js';
import type { PeerFrame, PeerMessage } from './messages.js';

/** Encodes a frame of messages. */
export const encodeFrame = (frame: PeerFrame): Frame =>
  create(FrameSchema, {
    stamp: frame.stamp,
    messages: frame.messages.map(message => ({
      body: { case: message.kind, value: message.value } as never,
    })),
  });

/** Decodes a frame; skips messages of kinds that this version does not know. */
export const decodeFrame = (frame: Frame): PeerFrame => ({
  stamp: frame.stamp,
  messages: frame.messages.flatMap(({ body }) =>
    body.case === undefined
      ? []
      : [{ kind: body.case, value: body.value } as PeerMessage],
  ),
});
