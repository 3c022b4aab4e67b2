/** Chooses the servers of one attempt: a chain for a model service, one server for a plain service. */
import type { Milliseconds } from '@lycheetally/common';
import type { ChainStage } from '@lycheetally/decisions';
import type { AdmittedCall, GatewayCall } from './gatewayCall.js';
import type { Server } from './server.js';
import { viewStage } from './serverBook.js';

/** The servers that an attempt uses. */
export interface ChosenServers {
  readonly first: Server;
  /** Stages in order; empty for a plain service. */
  readonly chain: readonly ChainStage[];
}

/** Calls added to the load of a server in another failure domain when servers are compared. */
const farCalls = 2;

export const chooseServers = (
  call: GatewayCall,
  admitted: AdmittedCall,
  now: Milliseconds,
): ChosenServers | undefined =>
  admitted.service.model
    ? chooseChain(call, admitted, now)
    : chooseOne(call, admitted);

/** Servers that refused a call recently are used only if no chain exists without them. */
const chooseChain = (
  call: GatewayCall,
  admitted: AdmittedCall,
  now: Milliseconds,
): ChosenServers | undefined => {
  const all = call.services.book.listUsable(admitted.service.name);
  const idle = all.filter(server => !server.isCrowded(now));
  const chosen = findChain(call, admitted, idle);
  return (
    chosen ??
    (idle.length < all.length ? findChain(call, admitted, all) : undefined)
  );
};

const findChain = (
  call: GatewayCall,
  admitted: AdmittedCall,
  usable: readonly Server[],
): ChosenServers | undefined => {
  const { tokens } = admitted;
  const { model } = admitted.service;
  const { book, chain: policy, homeDomain } = call.services;
  if (!model) {
    return undefined;
  }
  const gateways = book.gatewaysPerDomain;
  const loads = new Map(
    usable.map(each => [each.record.serverId, each.estimateLoad(gateways)]),
  );
  const chain = policy.chooseChain({
    model,
    servers: usable.map(viewStage),
    homeDomain,
    tokens,
    excluded: call.avoided,
    getLoad: id => loads.get(id) ?? idleLoad,
  });
  const first = book.find(chain?.[0]?.server.serverId ?? '');
  return chain && first ? { first, chain } : undefined;
};

const idleLoad = { layerTokens: 0, firstRequests: 0, slowness: 1 };

const chooseOne = (
  call: GatewayCall,
  admitted: AdmittedCall,
): ChosenServers | undefined => {
  const { book, homeDomain } = call.services;
  const computeRank = (server: Server): number =>
    server.calls + (server.record.failureDomain === homeDomain ? 0 : farCalls);
  const candidates = book
    .listUsable(admitted.service.name)
    .filter(server => !call.avoided.has(server.record.serverId))
    .sort((a, b) => computeRank(a) - computeRank(b));
  const [first] = candidates;
  return first && { first, chain: [] };
};
