/** The servers that run an attempt, and the load that the attempt adds to them. */
import type { AdmittedCall } from '../calls/gatewayCall.js';
import type { ChosenServers } from '../calls/chooseServers.js';
import type { Server } from '../servers/server.js';
import type { ServerRegistry } from '../servers/serverRegistry.js';

export class AttemptServers {
  /** The servers of the chain as the registry knows them; each event of a stream has passed all of them. */
  stages: readonly Server[];
  private layerTokens: ReadonlyMap<string, number>;

  constructor(
    private readonly registry: ServerRegistry,
    private readonly admitted: AdmittedCall,
    private servers: ChosenServers,
  ) {
    this.layerTokens = computeLayerTokens(servers, admitted.tokens);
    this.stages = this.findStages();
  }

  get chosen(): ChosenServers {
    return this.servers;
  }

  /** Counts the load at the servers of a new chain, whose first server is the same. */
  replaceChain(chain: ChosenServers['chain']): void {
    this.updateLoad(-1);
    this.servers = { ...this.servers, chain, stageMs: undefined };
    this.layerTokens = computeLayerTokens(this.servers, this.admitted.tokens);
    this.stages = this.findStages();
    this.updateLoad(1);
  }

  /** Adds the attempt's load to its servers, or subtracts it. */
  updateLoad(sign: 1 | -1): void {
    this.servers.first.calls += sign;
    for (const [serverId, layerTokens] of this.layerTokens) {
      const server = this.registry.find(serverId);
      if (server) {
        server.layerTokens = Math.max(
          0,
          server.layerTokens + sign * layerTokens,
        );
      }
    }
  }

  private findStages(): readonly Server[] {
    return this.servers.chain.flatMap(
      ({ server }) => this.registry.find(server.serverId) ?? [],
    );
  }

  /** Whether the server is part of the attempt. */
  has(server: Server): boolean {
    const { serverId } = server.record;
    return (
      this.servers.first === server ||
      this.servers.chain.some(stage => stage.server.serverId === serverId)
    );
  }

  /** Whether one of the servers is part of the attempt. */
  hasAny({ first, chain }: ChosenServers): boolean {
    const used = new Set(
      this.servers.chain.map(({ server }) => server.serverId),
    );
    return (
      this.has(first) || chain.some(({ server }) => used.has(server.serverId))
    );
  }

  /** Returns the id of the chain's server at the address. */
  findStage(address: string): string | undefined {
    return this.servers.chain.find(({ server }) => server.address === address)
      ?.server.serverId;
  }
}

/** Returns the KV cache that each server of the chain needs for the call, in layer-tokens. */
const computeLayerTokens = (
  { chain }: ChosenServers,
  tokens: number,
): ReadonlyMap<string, number> =>
  new Map(
    chain.map(({ server, range }) => [
      server.serverId,
      tokens * (range.to - range.from),
    ]),
  );
