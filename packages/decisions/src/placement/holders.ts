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
