/** Faults of a fleet of processes, each with a beginning and an end. */
import type { RouterFleet } from '../fleet/routerFleet.js';
import { Direction, type TcpRelay } from './tcpRelay.js';

/** A fault that can be switched on and off. */
export abstract class Fault {
  /** Kind of the fault and what it hits. */
  abstract readonly name: string;
  abstract begin(fleet: RouterFleet): Promise<void>;
  /** Mends what the fault broke. */
  abstract end(fleet: RouterFleet): Promise<void>;
}

/** Kills an agent; its end starts another at the same address. */
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

/** Stops a process and lets it go on later. */
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

/** A fault of the relay before a process. */
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

/** Ends the open connections; later ones work. */
export class CutLink extends LinkFault {
  readonly name = `cut ${this.link}`;

  protected override apply(relay: TcpRelay): void {
    relay.cutConnections();
  }

  protected override reset(): void {
    // Later connections work already.
  }
}

/** Ends the open connections and refuses others. */
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

/** Silences the open connections for good; later ones work. */
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
    // A silent connection stays silent; later ones work already.
  }
}

/** Holds back every byte of a link. */
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

/** Every call to the log service fails. */
export class LogOutage extends Fault {
  readonly name = 'log outage';

  override begin(fleet: RouterFleet): Promise<void> {
    return fleet.setLogFaults({ outage: true });
  }

  override end(fleet: RouterFleet): Promise<void> {
    return fleet.setLogFaults({ outage: false });
  }
}

/** Appends take effect and their answers are lost. */
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
