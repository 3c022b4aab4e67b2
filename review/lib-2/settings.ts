/** Fills in the template of the settings that the deploy file names, as the platform does at each start. */
import { readFileSync } from 'node:fs';

/** Fields of a process's settings, as the platform's pages list them. */
export type Fields = Readonly<Record<string, unknown>>;

const placeholder = /\{\{([a-z_.0-9]+)\}\}/g;

const findField = (fields: Fields, path: string): unknown =>
  path
    .split('.')
    .reduce<unknown>(
      (value, name) =>
        typeof value === 'object' && value !== null
          ? (value as Record<string, unknown>)[name]
          : undefined,
      fields,
    );

const formatField = (value: unknown): string =>
  typeof value === 'string' || typeof value === 'number' ? String(value) : '';

/** Formats the settings of a gateway from the template. */
export const formatSettings = (fields: Fields): string =>
  readFileSync('deploy/gateway.ini', 'utf8').replace(
    placeholder,
    (_, path: string) => formatField(findField(fields, path)),
  );

/** What differs between the gateways of a small deployment. */
export interface GatewayFields {
  readonly node: string;
  readonly zone: string;
  readonly front: string;
  readonly ready: string;
  /** A loopback address of its own, at which the gateway listens for others. */
  readonly ip: string;
  /** First port for messages between gateways. */
  readonly peerPort: number;
  readonly store: string;
}

/** The fields of an entry VM of the site cedarline-pickups. */
export const createFields = (gateway: GatewayFields): Fields => ({
  node: gateway.node,
  zone: gateway.zone,
  ip: gateway.ip,
  port_range: [gateway.peerPort],
  heartbeat_ms: 1_200,
  listen: { front: gateway.front, ready: gateway.ready },
  limits: { memory_mb: 350, max_fds: 4_100 },
  bounds: {
    grace_s: 8,
    revoke_ms: 5_000,
    retry_ratio: 0.2,
    retry_slack: 198,
    retry_window_s: 10,
  },
  provider: { address: gateway.store, parts: 12 },
});
