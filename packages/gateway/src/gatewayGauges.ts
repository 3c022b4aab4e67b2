/** Gauges of a gateway, read when the metrics page is requested. */
import type { LoadExchange } from './balance/loadExchange.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { LayerPlacer } from './placement/layerPlacer.js';
import type { GatewayNews } from './news/gatewayNews.js';
import { TraitKind } from './suspects/callTrait.js';
import type { Suspects } from './suspects/suspects.js';
import type { ConnectionCounts } from './safeReuseAgent.js';

/** Sources of the gauges' values. */
export interface GaugeSources {
  readonly connections: ConnectionCounts;
  readonly placer: LayerPlacer;
  countCalls(): number;
  countQueued(): number;
  countBufferedBytes(): number;
  countCallerBytes(): number;
  countCallerConnections(): number;
  readonly news: GatewayNews;
  readonly suspects: Suspects;
  readonly loadExchange: LoadExchange | undefined;
  countUnreadable(): number;
  countDoubted(): number;
  countLimited(): number;
  countSilent(): number;
  getVersion(): number;
}

export const addGauges = (
  metrics: GatewayMetrics,
  sources: GaugeSources,
): void => {
  const { connections, placer } = sources;
  const gauges: readonly [string, string, () => number][] = [
    ['open_calls', 'Calls without a final answer', () => sources.countCalls()],
    [
      'queued_calls',
      'Calls that were read and wait to be taken',
      () => sources.countQueued(),
    ],
    [
      'buffered_bytes',
      'Memory of buffered requests and responses',
      () => sources.countBufferedBytes(),
    ],
    [
      'caller_bytes',
      'Memory of the connections of callers, with their requests and unread answers',
      () => sources.countCallerBytes(),
    ],
    [
      'caller_connections',
      'Connections of callers',
      () => sources.countCallerConnections(),
    ],
    [
      'configuration_version',
      'Version of the configuration in force',
      () => sources.getVersion(),
    ],
    [
      'is_duty_holder',
      'Whether it places layers',
      () => Number(placer.isLeader),
    ],
    [
      'load_report_bytes',
      'Bytes of load reports to other gateways and of their answers since the start',
      () => sources.loadExchange?.bytes ?? 0,
    ],
    [
      'load_report_gateways',
      'Other gateways whose calls in flight are known from recent reports',
      () => sources.loadExchange?.coveredGateways ?? 0,
    ],
    ['orders', 'Orders to servers since the start', () => placer.orders],
    [
      'connections_opened',
      'Connections opened to servers since the start',
      () => connections.opened,
    ],
    [
      'connections_reused',
      'Calls sent over a connection that was open',
      () => connections.reused,
    ],
    [
      'connections_surplus',
      'Connections closed for bytes that nobody asked for',
      () => connections.surplus,
    ],
    [
      'is_relay',
      'Whether it reads the store for other gateways',
      () => Number(sources.news.isRelaying),
    ],
    [
      'store_era',
      'Era of the store, which rises when it comes back from an older copy',
      () => sources.news.storeEra,
    ],
    [
      'known_gateways',
      'Gateways that it knows, itself included',
      () => sources.news.peerCount,
    ],
    [
      'parts_tracked',
      'Parts of prompts that were there when a server crashed',
      () => sources.suspects.countTracked(TraitKind.PromptPart),
    ],
    [
      'parts_refused',
      'Parts of prompts with which calls are refused',
      () => sources.suspects.countRefused(TraitKind.PromptPart),
    ],
    [
      'suspect_calls_tracked',
      'Requests that a server had begun to run when it crashed',
      () => sources.suspects.countTracked(TraitKind.WholeCall),
    ],
    [
      'suspect_calls_refused',
      'Requests that are refused, since they crash servers',
      () => sources.suspects.countRefused(TraitKind.WholeCall),
    ],
    [
      'unreadable_records',
      'Records of servers that could not be read',
      () => sources.countUnreadable(),
    ],
    [
      'doubted_servers',
      'Servers that are asked, since their entries are missing or unreadable',
      () => sources.countDoubted(),
    ],
    [
      'limited_servers',
      'Servers that name how many requests a second they take',
      () => sources.countLimited(),
    ],
    [
      'silent_servers',
      'Servers that answer nothing, though nothing else says that they are gone',
      () => sources.countSilent(),
    ],
  ];
  for (const [name, help, read] of gauges) {
    metrics.addGauge(name, help, read);
  }
};
