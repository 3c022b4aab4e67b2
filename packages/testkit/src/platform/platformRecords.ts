/** Records that operators and servers write to the users' store, for stand-ins. */

/** What a configuration of the stand-ins holds. */
export interface ConfigurationOptions {
  readonly version: number;
  readonly host: string;
  readonly timeoutMs: number;
  readonly accounts: readonly {
    readonly name: string;
    readonly keys: readonly string[];
  }[];
}

/** Routes by the first part of their path: bookings, lookups and streams. */
const routeKinds = {
  book: 'non_idempotent',
  look: 'idempotent',
  talk: 'streaming',
};

/** Formats a configuration with a route of each kind to one service. */
export const formatConfigurationRecord = ({
  version,
  host,
  timeoutMs,
  accounts,
}: ConfigurationOptions): Record<string, unknown> => ({
  version,
  routes: Object.entries(routeKinds).map(([name, kind]) => ({
    name,
    hostname: host,
    path_prefix: `/${name}/`,
    backend: 'desk',
    kind,
    resumable: kind === routeKinds.talk,
    timeout_ms: timeoutMs,
    latency_goal_ms: 400,
    priority: 0,
    attempts: 2,
    public: false,
  })),
  services: [{ name: 'desk', health_check: '/health', max_conns: 100 }],
  limits: {
    max_header_bytes: 4_096,
    max_body_bytes: 10_000,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: accounts.map(({ name, keys }) => ({ name, api_keys: keys })),
});

/** Formats the entry of a server of that service. */
export const formatServerRecord = (
  address: string,
  more: Readonly<Record<string, unknown>> = {},
): Record<string, unknown> => ({
  backend: 'desk',
  address,
  zone: 'zone-a',
  version: 'v1',
  slots: 10,
  state: 'ready',
  born: 1_000,
  seq: 1,
  cold_left_ms: 0,
  ...more,
});
