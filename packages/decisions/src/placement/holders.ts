/** Backend servers with layers, as the placement rules use them. */
import type { LayerRange, StageServer } from './types.js';

/** A server and the layers that it holds or is assigned. */
export interface LayerHolder {
  readonly server: StageServer;
  readonly range: LayerRange;
}

/** Says whether the plan may assign other layers to the server; a plan changes a server once at most. */
export const mayReassign = (
  server: StageServer,
  plan: ReadonlyMap<string, LayerRange>,
): boolean => server.isBusy !== true && !plan.has(server.serverId);

/**
 * Says whether each layer that the holder would give up for the new range stays at
 * another server, of any failure domain. A server that is only told to load a layer, in
 * this plan or an earlier one, doesn't serve it for seconds, so it does not count.
 */
export const mayGiveUp = (
  holder: LayerHolder,
  newRange: LayerRange,
  servers: readonly StageServer[],
  plan: ReadonlyMap<string, LayerRange>,
): boolean => {
  const others = servers.filter(
    server =>
      server !== holder.server &&
      server.isLoading !== true &&
      !plan.has(server.serverId),
  );
  return listGivenUp(holder.range, newRange).every(layer =>
    others.some(({ range }) => range && hasLayer(range, layer)),
  );
};

const listGivenUp = (held: LayerRange, kept: LayerRange): number[] =>
  Array.from({ length: held.to - held.from }, (_, at) => held.from + at).filter(
    layer => !hasLayer(kept, layer),
  );

const hasLayer = ({ from, to }: LayerRange, layer: number): boolean =>
  from <= layer && layer < to;
