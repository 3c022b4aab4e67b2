/** Routing by maximum flow and forecasts, with false and missing load reports. */
import { describe, expect, it } from 'vitest';
import {
  LinkTable,
  LoadTracker,
  AlwaysAdmitPolicy,
  PredictiveRouting,
  ServiceKind,
  StepModel,
  computeMaxFlow,
  type LoadReport,
  type RequestView,
  type ServerView,
  type ServiceRule,
} from '../src/index.js';

const service: ServiceRule = {
  name: 'model',
  kind: ServiceKind.Model,
  layers: 20,
  idempotent: true,
  accounts: [],
};

const createServer = (
  serverId: string,
  layerFrom: number,
  layerTo: number,
  change: Partial<ServerView> = {},
): ServerView => ({
  serverId,
  agentAddress: '',
  incarnation: '',
  service: service.name,
  kind: service.kind,
  layerFrom,
  layerTo,
  failureDomain: 'domain-a',
  isConnected: true,
  isLeaving: false,
  outstanding: 0,
  ...change,
});

const request: RequestView = {
  requestId: 'request',
  account: 'depot-1',
  rank: 'family',
  service: service.name,
  deadlineAt: 1e6,
  isRepeatable: true,
  attempts: 0,
  avoided: [],
  urgency: 0,
  cost: 10,
  promptTokens: 10,
  maxTokens: 10,
};

const createReport = (
  capacity: number,
  waitMs: number,
  sequences = 0,
): LoadReport => ({
  running: 1,
  slots: 1,
  capacity,
  passMs: 10,
  ranks: [{ urgency: 0, waiting: 0, waitingCost: 0, sequences, waitMs }],
});

const createRouting = (loadTracker: LoadTracker): PredictiveRouting =>
  new PredictiveRouting({
    loadTracker,
    links: new LinkTable(),
    overloadPolicy: new AlwaysAdmitPolicy(),
    seed: 1,
    candidates: 6,
    planIntervalMs: 1_000,
  });

describe('maximum flow', () => {
  it('finds the maximum flow through stages and links', () => {
    const stage = (
      key: string,
      layerFrom: number,
      failureDomain: string,
      capacity: number,
    ): Parameters<typeof computeMaxFlow>[0][number] => ({
      key,
      layerFrom,
      layerTo: layerFrom + 10,
      failureDomain,
      capacity,
    });
    const flow = computeMaxFlow(
      [
        stage('first-a', 0, 'a', 100),
        stage('first-b', 0, 'b', 50),
        stage('last-a', 10, 'a', 80),
        stage('last-b', 10, 'b', 80),
      ],
      20,
      (from, to) => (from === to ? Infinity : 10),
    );
    expect(flow.total).toBeCloseTo(140);
    expect(flow.first.get('first-a')).toBeCloseTo(90);
  });
});

describe('PredictiveRouting', () => {
  it('always covers each layer once with servers of different layer ranges', () => {
    const servers = [
      createServer('half-0', 0, 10),
      createServer('half-1', 10, 20),
      createServer('quarter-0', 0, 5),
      createServer('quarter-1', 5, 10),
      createServer('quarter-lost', 5, 10, { isConnected: false }),
      createServer('dead-end', 0, 7),
    ];
    const routing = createRouting(new LoadTracker());
    for (let index = 0; index < 500; index += 1) {
      const route = routing
        .chooseRoute(request, service, servers, index)
        .unwrap();
      let layer = 0;
      for (const server of route) {
        expect(server.layerFrom).toBe(layer);
        expect(server.isConnected).toBe(true);
        layer = server.layerTo;
      }
      expect(layer).toBe(service.layers);
    }
  });

  it('does not send all traffic to a server with a false report', () => {
    const names = ['false-report', 'true-1', 'true-2', 'true-3'];
    const servers = names.map(name => createServer(name, 0, 20));
    const loadTracker = new LoadTracker();
    const routing = createRouting(loadTracker);
    const counts = new Map<string, number>();
    for (let round = 0; round < 400; round += 1) {
      const now = round * 50;
      if (round % 10 === 0) {
        names.forEach(name => {
          const hasFalseReport = name === 'false-report';
          const report = hasFalseReport
            ? createReport(1e9, 0)
            : createReport(100, 300, 5);
          loadTracker.noteReport(name, report, now);
        });
      }
      const route = routing
        .chooseRoute(request, service, servers, now)
        .unwrap();
      const id = route[0]?.serverId ?? '';
      counts.set(id, (counts.get(id) ?? 0) + 1);
      const facts = { route, urgency: 0, account: 'depot-1', cost: 10 };
      loadTracker.noteOffered(facts);
      loadTracker.noteStarted(facts, id === 'false-report' ? 3_000 : 300, now);
    }
    expect(counts.get('false-report')).toBeLessThan(200);
    expect(counts.size).toBe(names.length);
  });

  it('avoids servers that refused the request while there are others', () => {
    const servers = ['one', 'two'].map(name => createServer(name, 0, 20));
    const routing = createRouting(new LoadTracker());
    const retried = { ...request, avoided: ['one'] };
    for (let index = 0; index < 100; index += 1) {
      const route = routing.chooseRoute(retried, service, servers, 0).unwrap();
      expect(route[0]?.serverId).toBe('two');
    }
  });

  it('routes plain services, and fails when there is no server', () => {
    const plain = { ...service, kind: ServiceKind.Plain, layers: 0 };
    const server = createServer('plain', 0, 0, { kind: ServiceKind.Plain });
    const routing = createRouting(new LoadTracker());
    const route = routing.chooseRoute(request, plain, [server], 0).unwrap();
    expect(route).toEqual([server]);
    expect(routing.chooseRoute(request, plain, [], 0).err).toBe(true);
  });
});

describe('StepModel', () => {
  it('predicts the throughput of full batches from small ones', () => {
    const model = new StepModel();
    for (let index = 0; index < 200; index += 1) {
      const decodes = 1 + (index % 4);
      const durationMs = 20 + decodes;
      model.observe({ decodes, promptTokens: 0, durationMs }, 0);
    }
    expect(model.estimateStep(16)).toBeCloseTo(36, 0);
    expect(model.estimateCapacity(16)).toBeCloseTo(16_000 / 36, -1);
  });
});
