/** Servers with layers, as the rules of the placement see them. */
import type { LayerRange, StageServer } from './types.js';

/** A server and the layers that it holds or was given. */
export interface Holder {
  readonly server: StageServer;
  readonly range: LayerRange;
}

/** Says whether a plan may give the server other layers; one change a plan is enough. */
export const mayMove = (
  server: StageServer,
  plan: ReadonlyMap<string, LayerRange>,
): boolean => server.isBusy !== true && !plan.has(server.serverId);
