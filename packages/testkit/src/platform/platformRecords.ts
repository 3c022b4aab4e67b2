/**
 * Builds the configuration and server records that tests write to the platform
 * store.
 */

/** Variable parts of a test configuration. */
export interface ConfigurationOptions {
  readonly version: number;
  readonly host: string;
  readonly timeoutMs: number;
  readonly accounts: readonly {
    readonly name: string;
    readonly keys: readonly string[];
  }[];
}

/** Kind of each route; the key is the first segment of its path. */
const routeKinds = {
  book: 'non_idempotent',
  look: 'idempotent',
  talk: 'streaming',
};

/** Formats a configuration with one service and a route of each kind to it. */
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

/** Formats the record of a backend server of that service. */
export const formatServerRecord = (
  address: string,
  overrides: Readonly<Record<string, unknown>> = {},
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
  ...overrides,
});
