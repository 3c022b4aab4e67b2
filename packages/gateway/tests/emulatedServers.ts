/** Servers of an emulated call. */
import type { BackendRecord, LayerRange } from '@lycheetally/decisions';

export const createRecord = (
  range: LayerRange | undefined,
  at: number,
): BackendRecord => ({
  serverId: `i-${String(at)}`,
  service: 'desk',
  address: `127.0.0.1:${String(at)}`,
  failureDomain: 'a',
  slots: 10,
  isLeaving: false,
  incarnation: 1_000,
  sequence: 1,
  kind: 'card',
  range,
});

export const service = {
  name: 'desk',
  healthPath: '/health',
  model: undefined,
};
