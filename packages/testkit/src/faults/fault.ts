/** Faults that tests inject into a fleet of processes. */
import type { RouterFleet } from '../fleet/routerFleet.js';
import { Direction, type TcpRelay } from './tcpRelay.js';

/** A fault that can be injected into a fleet and reverted. */
export abstract class Fault {
  /** Kind of the fault and the process or link that it affects. */
  abstract readonly name: string;
  abstract begin(fleet: RouterFleet): Promise<void>;
  /** Reverts the fault. */
  abstract end(fleet: RouterFleet): Promise<void>;
}

/**
 * Kills an agent. Its end starts a replacement, at the same address if the
 * fleet has relays.
 */
export class KilledAgent extends Fault {
  readonly name: string;

  constructor(private readonly server: string) {
    super();
    this.name = `kill agent-${server}`;
  }

  override async begin(fleet: RouterFleet): Promise<void> {
    const name = `agent-${this.server}`;
    fleet.processes.sendSignal(name, 'SIGKILL');
    await fleet.processes.getProcess(name).exited;
  }

  override async end(fleet: RouterFleet): Promise<void> {
    await fleet.restartAgent(this.server);
  }
}

/** Suspends a process with SIGSTOP and resumes it with SIGCONT. */
export class FrozenProcess extends Fault {
  readonly name: string;

  constructor(private readonly process: string) {
    super();
    this.name = `freeze ${process}`;
  }

  override begin(fleet: RouterFleet): Promise<void> {
    fleet.processes.sendSignal(this.process, 'SIGSTOP');
    return Promise.resolve();
  }

  override end(fleet: RouterFleet): Promise<void> {
    fleet.processes.sendSignal(this.process, 'SIGCONT');
    return Promise.resolve();
  }
}

/** A network fault, injected by the relay in front of a process. */
export abstract class LinkFault extends Fault {
  constructor(protected readonly link: string) {
    super();
  }

  override begin(fleet: RouterFleet): Promise<void> {
    this.apply(fleet.getRelay(this.link));
    return Promise.resolve();
  }

  override end(fleet: RouterFleet): Promise<void> {
    this.reset(fleet.getRelay(this.link));
    return Promise.resolve();
  }

  protected abstract apply(relay: TcpRelay): void;
  protected abstract reset(relay: TcpRelay): void;
}

/** Closes the open connections; new ones work. */
export class CutLink extends LinkFault {
  readonly name = `cut ${this.link}`;

  protected override apply(relay: TcpRelay): void {
    relay.cutConnections();
  }

  protected override reset(): void {
    // New connections were never affected.
  }
}

/** Closes the open connections and refuses new ones. */
export class ClosedLink extends LinkFault {
  readonly name = `close ${this.link}`;

  protected override apply(relay: TcpRelay): void {
    relay.setClosed(true);
    relay.cutConnections();
  }

  protected override reset(relay: TcpRelay): void {
    relay.setClosed(false);
  }
}

/** Discards all further bytes of the open connections; new ones work. */
export class SilentLink extends LinkFault {
  readonly name: string;

  constructor(
    link: string,
    private readonly directions: readonly Direction[],
  ) {
    super(link);
    this.name = `silence ${link} ${directions.join(' and ')}`;
  }

  protected override apply(relay: TcpRelay): void {
    relay.silenceConnections(...this.directions);
  }

  protected override reset(): void {
    // Affected connections never recover, and new ones were never affected.
  }
}

/** Delays all bytes that pass a relay. */
export class SlowLink extends LinkFault {
  readonly name: string;

  constructor(
    link: string,
    private readonly delayMs: number,
  ) {
    super(link);
    this.name = `delay ${link} by ${String(delayMs)} ms`;
  }

  protected override apply(relay: TcpRelay): void {
    relay.setDelay(this.delayMs);
  }

  protected override reset(relay: TcpRelay): void {
    relay.setDelay(0);
  }
}

/** Makes every call to the log service fail. */
export class LogOutage extends Fault {
  readonly name = 'log outage';

  override begin(fleet: RouterFleet): Promise<void> {
    return fleet.setLogFaults({ outage: true });
  }

  override end(fleet: RouterFleet): Promise<void> {
    return fleet.setLogFaults({ outage: false });
  }
}

/** Makes the log service store appends without a response. */
export class LostLogAnswers extends Fault {
  readonly name = 'lost log answers';

  constructor(private readonly count: number) {
    super();
  }

  override begin(fleet: RouterFleet): Promise<void> {
    return fleet.setLogFaults({ loseAnswers: this.count });
  }

  override end(fleet: RouterFleet): Promise<void> {
    return fleet.setLogFaults({ loseAnswers: 0 });
  }
}
