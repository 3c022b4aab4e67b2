/** The platform's side of a small installation: its store with a configuration. */
import { clientHost, clientKey } from './client.js';
import { LogStore } from './store.js';

/** Layers of the model. */
export const modelLayers = 2;

const engine = {
  layers: modelLayers,
  layer_mb: 1_750,
  kv_token_bytes: 1_000,
  step_ms: 1.02,
  per_seq_ms: 0.005,
  context_per_k: 0.006,
  kinds: [{ name: 'card', size_mb: 72_000, pace: 2.4, read_factor: 3.2 }],
};

const routes = [
  { name: 'ask', kind: 'streaming', backend: 'chat', timeout_ms: 20_000 },
  { name: 'brief', kind: 'streaming', backend: 'chat', timeout_ms: 20_000 },
  { name: 'book', kind: 'non_idempotent', backend: 'desk', timeout_ms: 800 },
  { name: 'look', kind: 'idempotent', backend: 'desk', timeout_ms: 800 },
] as const;

/** Largest body that a client may send, as the site file says. */
export const maxBodyBytes = 4_194_304;

export interface ConfigurationOptions {
  readonly version: number;
  readonly keys?: readonly string[];
  /** Routes that no client uses. */
  readonly idleRoutes?: number;
  /** Service of the route `brief`. */
  readonly briefService?: string;
}

const createIdleRoutes = (count: number): Record<string, unknown>[] =>
  Array.from({ length: count }, (_, at) => ({
    name: `idle-${String(at)}`,
    hostname: `idle-${String(at)}.example`,
    path_prefix: `/idle-${String(at)}/`,
    backend: 'desk',
    kind: 'idempotent',
    resumable: false,
    timeout_ms: 800,
    latency_goal_ms: 300,
    priority: 1,
    attempts: 2,
    public: false,
  }));

export const createConfiguration = ({
  version,
  keys = [clientKey],
  idleRoutes = 0,
  briefService = 'chat',
}: ConfigurationOptions): Record<string, unknown> => ({
  version,
  routes: [
    ...createIdleRoutes(idleRoutes),
    ...routes.map(({ name, kind, backend, timeout_ms }) => ({
      name,
      hostname: clientHost,
      path_prefix: `/${name}/`,
      backend: name === 'brief' ? briefService : backend,
      kind,
      resumable: kind === 'streaming',
      timeout_ms,
      latency_goal_ms: kind === 'streaming' ? 500 : 300,
      priority: 1,
      attempts: kind === 'non_idempotent' ? 1 : 2,
      public: false,
    })),
  ],
  services: [
    { name: 'chat', health_check: '/health', max_conns: 968, engine },
    { name: 'other', health_check: '/health', max_conns: 968, engine },
    { name: 'desk', health_check: '/health', max_conns: 100 },
  ],
  limits: {
    max_header_bytes: 8_192,
    max_body_bytes: maxBodyBytes,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'depot-1', api_keys: keys }],
});

export const startStore = async (): Promise<{
  store: LogStore;
  address: string;
}> => {
  const store = new LogStore();
  const address = await store.listen();
  store.put('keyed.op', 'config', createConfiguration({ version: 7 }));
  return { store, address };
};
