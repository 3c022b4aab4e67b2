/** Links between nodes in memory; the test triggers the delivery of each frame. */
import {
  Ok,
  formatAddress,
  type Address,
  type Result,
} from '@lycheetally/common';
import type { MessageKind, PeerFrame } from '@lycheetally/protocol';
import {
  PeerNetwork,
  PeerStream,
  type PeerStreamListener,
} from '../src/index.js';

type Accept = (stream: PeerStream) => PeerStreamListener;

/** A pending delivery at one end of a link. */
type Delivery =
  | { readonly kind: 'frame'; readonly frame: PeerFrame }
  | { readonly kind: 'close' };

/** One end of a link. */
class LinkEnd extends PeerStream {
  readonly inbox: Delivery[] = [];
  /** Kinds of messages that are dropped instead of delivered to this end. */
  droppedKinds: ReadonlySet<MessageKind> = new Set();
  listener: PeerStreamListener | undefined;
  peer: LinkEnd | undefined;
  /** Whether everything that this end sends is dropped. */
  isSilent = false;
  private isClosed = false;

  override send(frame: PeerFrame): void {
    this.relay({ kind: 'frame', frame });
  }

  override close(): void {
    this.relay({ kind: 'close' });
    this.isClosed = true;
    this.inbox.length = 0;
  }

  /** Queues the end of the link for this end. */
  cut(): void {
    if (!this.isClosed) {
      this.inbox.push({ kind: 'close' });
    }
  }

  deliverNext(): void {
    const next = this.inbox.shift();
    if (next?.kind === 'frame') {
      const messages = next.frame.messages.filter(
        message => !this.droppedKinds.has(message.kind),
      );
      this.listener?.receiveFrame({ ...next.frame, messages });
    } else if (next) {
      this.isClosed = true;
      this.listener?.handleClose('the link ended');
    }
  }

  private relay(delivery: Delivery): void {
    if (!this.isClosed && !this.isSilent) {
      this.peer?.receive(delivery);
    }
  }

  private receive(delivery: Delivery): void {
    if (!this.isClosed) {
      this.inbox.push(delivery);
    }
  }
}

interface Link {
  readonly ends: readonly [LinkEnd, LinkEnd];
  /** Names of the nodes at the ends. */
  readonly nodes: readonly [string, string];
}

export class FakeWire {
  readonly acceptors = new Map<string, { node: string; accept: Accept }>();
  private links: Link[] = [];

  open(
    node: string,
    address: string,
    listener: PeerStreamListener,
  ): PeerStream {
    const near = new LinkEnd();
    near.listener = listener;
    const acceptor = this.acceptors.get(address);
    if (!acceptor) {
      near.cut();
      this.links.push({ ends: [near, new LinkEnd()], nodes: [node, ''] });
      return near;
    }
    const far = new LinkEnd();
    near.peer = far;
    far.peer = near;
    far.listener = acceptor.accept(far);
    this.links.push({ ends: [near, far], nodes: [node, acceptor.node] });
    return near;
  }

  /** Drops messages of some kinds on every open link from now on. */
  dropKinds(...kinds: readonly MessageKind[]): void {
    for (const end of this.links.flatMap(link => [...link.ends])) {
      end.droppedKinds = new Set(kinds);
    }
  }

  /** Lists the ends with pending deliveries. */
  listReady(): LinkEnd[] {
    return this.links
      .flatMap(link => [...link.ends])
      .filter(end => end.inbox.length > 0);
  }

  listLinks(): readonly Link[] {
    return this.links;
  }

  cutLink(link: Link): void {
    link.ends.forEach(end => {
      end.cut();
    });
    this.links = this.links.filter(
      each => each !== link || each.ends.some(end => end.inbox.length > 0),
    );
  }

  /** Closes every link of a node; the node itself receives nothing more. */
  dropNode(name: string): void {
    for (const { ends, nodes } of this.links) {
      ends.forEach((end, index) => {
        if (nodes[index] === name) {
          end.listener = undefined;
          end.close();
        }
      });
    }
  }
}

export class FakeNetwork extends PeerNetwork {
  isDropped = false;

  constructor(
    private readonly wire: FakeWire,
    private readonly node: string,
  ) {
    super();
  }

  override openStream(
    address: string,
    listener: PeerStreamListener,
  ): PeerStream {
    const reached = this.isDropped ? '' : address;
    return this.wire.open(this.node, reached, listener);
  }

  override listen(address: Address, accept: Accept): Promise<Result<Address>> {
    const key = formatAddress(address);
    this.wire.acceptors.set(key, { node: this.node, accept });
    return Promise.resolve(Ok(address));
  }

  override dispose(): void {
    this.isDropped = true;
  }
}
