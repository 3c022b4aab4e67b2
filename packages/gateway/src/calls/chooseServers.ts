/** Chooses the servers of one attempt: a chain for a model service, one server for a plain service. */
import type { Milliseconds } from '@lycheetally/common';
import type {
  ChainRequest,
  ChainStage,
  StageLoad,
} from '@lycheetally/decisions';
import type { BalancedCall, CallBalance } from '../balance/callBalance.js';
import type { AdmittedCall, GatewayCall } from './gatewayCall.js';
import type { Server } from '../servers/server.js';
import { toTracedCall } from '../suspects/suspectCalls.js';
import { toStageServer } from '../servers/serverRegistry.js';

/** The servers that an attempt uses. */
export interface ChosenServers {
  readonly first: Server;
  /** Stages in order; empty for a plain service. */
  readonly chain: readonly ChainStage[];
  /** Whether each server has room for the call, as far as this gateway knows. */
  readonly hasRoom: boolean;
  /** Time per token of each stage as expected of its kind of accelerator; absent where no pace is observed. */
  readonly stageMs?: readonly Milliseconds[] | undefined;
}

/** Calls added to the load of a server in another failure domain when servers are compared. */
const otherDomainCalls = 2;

/** A call that left a silent server goes to others that were silent, too, only if none is known to live. */
export const chooseServers = (
  call: GatewayCall,
  admitted: AdmittedCall,
  now: Milliseconds,
): ChosenServers | undefined => {
  const { services } = call;
  const startedAt = services.getMoment().monotonic;
  const chosen = chooseUsable(call, admitted, now);
  services.metrics.observeChoice(services.getMoment().monotonic - startedAt);
  return chosen;
};

const chooseUsable = (
  call: GatewayCall,
  admitted: AdmittedCall,
  now: Milliseconds,
): ChosenServers | undefined => {
  const { serverRegistry } = call.services;
  const usable = serverRegistry.listUsable(admitted.service.name);
  const alive = listAlive(usable, call.movedSince);
  return (
    (alive.length < usable.length
      ? chooseAmong(call, admitted, alive, now)
      : undefined) ?? chooseAmong(call, admitted, usable, now)
  );
};

/** Which servers are known to live. */
export interface ProofOfLife {
  /** They have shown it since then. */
  readonly since: Milliseconds;
  /** Id of a server that holds the call up, whatever it has shown. */
  readonly without: string | undefined;
}

/** Chooses among servers that are known to live. */
export const chooseAlive = (
  call: GatewayCall,
  admitted: AdmittedCall,
  { since, without }: ProofOfLife,
  now: Milliseconds,
): ChosenServers | undefined => {
  const usable = call.services.serverRegistry
    .listUsable(admitted.service.name)
    .filter(({ record }) => record.serverId !== without);
  return chooseAmong(call, admitted, listAlive(usable, since), now);
};

const listAlive = (
  servers: readonly Server[],
  since: Milliseconds,
): readonly Server[] => servers.filter(server => server.hasProvenLife(since));

const chooseAmong = (
  call: GatewayCall,
  admitted: AdmittedCall,
  usable: readonly Server[],
  now: Milliseconds,
): ChosenServers | undefined =>
  admitted.service.model
    ? chooseChain(call, admitted, usable, now)
    : chooseOne(call, admitted, usable, now);

/** Servers that refused a call recently are used only if no chain exists without them. */
const chooseChain = (
  call: GatewayCall,
  admitted: AdmittedCall,
  all: readonly Server[],
  now: Milliseconds,
): ChosenServers | undefined => {
  const preferred = all.filter(server => !server.hasRefusedRecently(now));
  const chosen = findChain(call, admitted, preferred, now);
  return (
    chosen ??
    (preferred.length < all.length
      ? findChain(call, admitted, all, now)
      : undefined)
  );
};

/** Whether the server takes the call now; of one with a limit, the most urgent waiting calls take the turns first. */
const mayReceive = (
  { services }: GatewayCall,
  { service, urgency }: AdmittedCall,
  { intake }: Server,
  now: Milliseconds,
): boolean =>
  intake.estimateWait(now) === 0 &&
  !(
    intake.isLimited &&
    services.waitingCalls.hasMoreUrgent(service.name, urgency)
  );

/** Estimates how long the limits of the servers hold the call back; 0 if they do not. */
export const estimateIntakeWait = (
  call: GatewayCall,
  { service }: AdmittedCall,
  now: Milliseconds,
): Milliseconds => {
  const waits = call.services.serverRegistry
    .listUsable(service.name)
    .filter(({ record }) => !service.model || record.range?.from === 0)
    .filter(({ record }) => !call.avoided.has(record.serverId))
    .map(({ intake }) => intake.estimateWait(now));
  return waits.length === 0 ? 0 : Math.min(...waits);
};

/** Whether silent servers can take the call if they are back soon. While the store is silent too, this gateway's own link may be cut, and another one serves the caller sooner. */
export const mayReturnForCall = (
  call: GatewayCall,
  admitted: AdmittedCall,
  now: Milliseconds,
): boolean => {
  const { serverRegistry } = call.services;
  const { name, model } = admitted.service;
  const pausing = serverRegistry.listPausing(name);
  if (pausing.length === 0 || !serverRegistry.isStoreAvailable) {
    return false;
  }
  const all = [...serverRegistry.listUsable(name), ...pausing];
  return model
    ? findChain(call, admitted, all, now) !== undefined
    : pausing.some(({ record }) => !call.avoided.has(record.serverId));
};

/** Estimates how long a call is held back that is suspected of crashing servers; 0 if it is not. */
export const estimateHold = (
  call: GatewayCall,
  { service }: AdmittedCall,
  now: Milliseconds,
): Milliseconds =>
  service.model
    ? 0
    : call.services.suspects.estimateHold(toTracedCall(call), now);

const findChain = (
  call: GatewayCall,
  admitted: AdmittedCall,
  usable: readonly Server[],
  now: Milliseconds,
): ChosenServers | undefined => {
  const { tokens } = admitted;
  const { serverRegistry, balance, homeDomain } = call.services;
  const balanced = toBalancedCall(call, admitted);
  if (!balanced) {
    return undefined;
  }
  const chain = balance.chainPolicy.chooseChain({
    ...describeChainServers(usable, balance, now),
    ...balance.describeNeeds(balanced, now),
    model: balanced.model,
    homeDomain,
    tokens,
    excluded: call.avoided,
    notFirst: new Set(
      usable
        .filter(server => !mayReceive(call, admitted, server, now))
        .map(({ record }) => record.serverId),
    ),
  });
  const first = serverRegistry.find(chain?.stages[0]?.server.serverId ?? '');
  return chain && first
    ? {
        first,
        chain: chain.stages,
        hasRoom: chain.hasRoom,
        stageMs: chain.stageMs,
      }
    : undefined;
};

/** The call in the form that the spread of load takes; absent for a plain service. */
export const toBalancedCall = (
  { received }: GatewayCall,
  { route, service }: AdmittedCall,
): BalancedCall | undefined =>
  service.model && {
    model: service.model,
    targetMs: route.targetMs,
    promptTokens: received.fields.promptTokens,
  };

/** Tells the spread of load that the call is sent to the servers. */
export const noteBalanced = (
  call: GatewayCall,
  admitted: AdmittedCall,
  { chain, stageMs }: ChosenServers,
  now: Milliseconds,
): void => {
  const balanced = toBalancedCall(call, admitted);
  if (balanced) {
    call.services.balance.noteSent(balanced, { stages: chain, stageMs }, now);
  }
};

/** Describes servers and their load as the choice of a chain takes them. */
export const describeChainServers = (
  usable: readonly Server[],
  balance: CallBalance,
  now: Milliseconds,
): Pick<ChainRequest, 'servers' | 'getLoad'> => {
  const byId = new Map(usable.map(each => [each.record.serverId, each]));
  const loads = new Map<string, StageLoad>();
  return {
    servers: usable.map(toStageServer),
    getLoad: id => {
      const server = byId.get(id);
      const load =
        loads.get(id) ??
        (server ? balance.estimateLoad(server, now) : idleLoad);
      loads.set(id, load);
      return load;
    },
  };
};

const idleLoad = { layerTokens: 0, firstStageRequests: 0, stepTimeRatio: 1 };

const chooseOne = (
  call: GatewayCall,
  admitted: AdmittedCall,
  usable: readonly Server[],
  now: Milliseconds,
): ChosenServers | undefined => {
  const { homeDomain } = call.services;
  const computeCost = (server: Server): number =>
    server.calls +
    (server.record.failureDomain === homeDomain ? 0 : otherDomainCalls);
  const candidates = usable
    .filter(server => !call.avoided.has(server.record.serverId))
    .filter(server => mayReceive(call, admitted, server, now))
    .sort((a, b) => computeCost(a) - computeCost(b));
  const placement = call.services.suspects.choosePlacement(
    toTracedCall(call),
    {
      candidates: candidates.map(({ record }) => record),
      usable: usable.map(({ record }) => record),
      total: call.services.serverRegistry.listAll(admitted.service.name).length,
    },
    now,
  );
  const first = placement.isFree
    ? candidates[0]
    : candidates.find(({ record }) => record.serverId === placement.serverId);
  return first && { first, chain: [], hasRoom: first.hasPlace };
};
