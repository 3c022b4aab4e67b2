/** Loads the chart files that ship with this package. */
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  toMessage,
  type Result,
  type ValueOf,
} from '@lycheetally/common';
import type { Chart } from './chart.js';
import { chartSchema, type ChartDefinition } from './chartDefinition.js';
import { compileChart } from './compileChart.js';

/** The charts that ship with this package, by file name. */
export const ChartName = {
  Lifecycle: 'lifecycle',
  Request: 'request',
  Attempt: 'attempt',
  AgentWork: 'agentWork',
  BackendWatch: 'backendWatch',
  PeerConnection: 'peerConnection',
  AcceptedConnection: 'acceptedConnection',
  ConfigFollower: 'configFollower',
  Claim: 'claim',
  ClaimReader: 'claimReader',
  ClaimWriter: 'claimWriter',
  ConfigHolder: 'configHolder',
  Publication: 'publication',
  Member: 'member',
  AgentMembership: 'agentMembership',
  CallerConnection: 'callerConnection',
  GatewayCall: 'gatewayCall',
  GatewayAttempt: 'gatewayAttempt',
  TableFollower: 'tableFollower',
  ServerHealth: 'serverHealth',
  ServerListing: 'serverListing',
  ServerIntake: 'serverIntake',
  DutyHolder: 'dutyHolder',
  GroupMember: 'groupMember',
  LayerOrder: 'layerOrder',
  ServerCheck: 'serverCheck',
  NewsRelay: 'newsRelay',
  RelayTrust: 'relayTrust',
  PeerRecord: 'peerRecord',
  LoadReport: 'loadReport',
  LoadView: 'loadView',
  Suspect: 'suspect',
  SuspectPush: 'suspectPush',
  SuspectPull: 'suspectPull',
  SuspectPeer: 'suspectPeer',
  SuspectLearning: 'suspectLearning',
  WorkSuspect: 'workSuspect',
} as const;
export type ChartName = ValueOf<typeof ChartName>;

const chartFolder = fileURLToPath(new URL('../charts/', import.meta.url));

/** Compiled charts by file. */
const compiledCharts = new Map<string, Result<Chart>>();

/** Loads and compiles a chart, or returns it from the cache. Fails with `BadChart`. */
export const loadChart = (
  name: ChartName,
  folder = chartFolder,
): Result<Chart> => {
  const file = `${folder}${name}.json`;
  const cached = compiledCharts.get(file);
  if (cached) {
    return cached;
  }
  try {
    const chart = compileChart(file, readFileSync(file, 'utf8'));
    compiledCharts.set(file, chart);
    return chart;
  } catch (thrown) {
    return Err(
      new TypedError(
        ErrorKind.BadChart,
        `${file}: cannot be read (${toMessage(thrown)})`,
        'install the package again',
      ),
    );
  }
};

/** Reads a chart file without compiling it. Fails with `BadChart`. */
export const readChartDefinition = (
  name: ChartName,
  folder = chartFolder,
): Result<ChartDefinition> => {
  const file = `${folder}${name}.json`;
  try {
    return Ok(chartSchema.parse(JSON.parse(readFileSync(file, 'utf8'))));
  } catch (thrown) {
    return Err(
      new TypedError(
        ErrorKind.BadChart,
        `${file}: cannot be read (${toMessage(thrown)})`,
        'install the package again',
      ),
    );
  }
};
