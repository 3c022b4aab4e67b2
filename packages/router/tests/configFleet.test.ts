/**
 * Publishes configurations to a fleet of real processes while operators race,
 * responses of the log are lost, the log is down, or its start is trimmed.
 */
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { ErrorKind } from '@lycheetally/common';
import {
  RouterFleet,
  buildFleetConfiguration,
  defaultFleetOptions,
  streamCompletion,
  waitUntil,
} from '@lycheetally/testkit';
import { ConfigPublisher, HttpLog, SystemClock } from '../src/index.js';

const options = {
  ...defaultFleetOptions,
  entries: 2,
  stages: 1,
  plainServers: 0,
};
const operatorCount = 50;
const snapshotSections = { config: { snapshotSeconds: 1 } };

interface ConfigStatus {
  readonly configVersion: number;
  readonly config: { readonly through: number; readonly standing?: string };
}

describe('the configuration of a fleet', () => {
  const fleet = new RouterFleet(options);
  const nodes = ['entry-0', 'entry-1', 'agent-stage0-0'];

  beforeAll(() => fleet.start());
  afterAll(() => fleet.dispose());
  afterEach(() => fleet.setLogFaults({ outage: false, loseAnswers: 0 }));

  const createPublisher = (author: string): ConfigPublisher =>
    new ConfigPublisher(new HttpLog(fleet.logUrl), new SystemClock(), author);

  const buildConfiguration = (
    targetMs: number,
  ): ReturnType<typeof buildFleetConfiguration> => {
    const base = buildFleetConfiguration(options.layers);
    return {
      ...base,
      ranks: base.ranks.map(rank =>
        rank.urgency === 0 ? { ...rank, targetMs } : rank,
      ),
    };
  };

  const readStatus = async (name: string): Promise<ConfigStatus> =>
    (await fleet.getStatus(name)) as unknown as ConfigStatus;

  const waitForVersion = (version: number, names = nodes): Promise<void> =>
    waitUntil(`version ${String(version)} is in force everywhere`, async () => {
      const all = await Promise.all(names.map(readStatus));
      return all.every(each => each.configVersion === version);
    });

  it('accepts one of 50 concurrent publications while responses are lost', async () => {
    await waitForVersion(1);
    await fleet.setLogFaults({ loseAnswers: 20 });
    const results = await Promise.all(
      Array.from({ length: operatorCount }, (_, index) =>
        createPublisher(`operator-${String(index)}`).publish(
          buildConfiguration(2_000 + index),
          1,
        ),
      ),
    );
    const refused = results.flatMap(result => (result.err ? [result.val] : []));
    expect(refused).toHaveLength(operatorCount - 1);
    for (const error of refused) {
      expect(error.kind).toBe(ErrorKind.ConfigConflict);
      expect(error.message).toMatch(/version 2 by operator-\d+ is current/);
    }
    await waitForVersion(2);
    await fleet.setLogFaults({ loseAnswers: 0 });
  });

  it('serves the last version from an entry that starts while the log is down', async () => {
    await fleet.setLogFaults({ outage: true });
    await fleet.startEntry('entry-outage');
    const status = await readStatus('entry-outage');
    expect(status).toMatchObject({
      configVersion: 2,
      config: { standing: 'unreachable' },
    });
    const url = fleet.entryUrls.at(-1) ?? '';
    const answer = await streamCompletion(url, 'in the outage', 3);
    expect(answer.outcome).toBe('complete');
    await fleet.setLogFaults({ outage: false });
    (
      await createPublisher('operator').publish(buildConfiguration(3_000))
    ).unwrap();
    await waitForVersion(3, [...nodes, 'entry-outage']);
  });

  it('lets an entry start from a snapshot after the log was trimmed', async () => {
    await fleet.startEntry('entry-snapshots', snapshotSections);
    const log = new HttpLog(fleet.logUrl);
    let before = 0;
    await waitUntil('a snapshot is in the log', async () => {
      const { records } = (await log.read('config', 0)).unwrap();
      const found = records.findLast(({ value }) =>
        value.includes('"kind":"snapshot"'),
      );
      before = found?.offset ?? 0;
      return found !== undefined;
    });
    await fleet.trimStream('config', before);
    (
      await createPublisher('operator').publish(buildConfiguration(4_000))
    ).unwrap();
    await fleet.startEntry('entry-late');
    await waitForVersion(4, [...nodes, 'entry-late']);
    const { records } = (await log.read('config', 0)).unwrap();
    expect(records[0]?.value).toContain('"kind":"snapshot"');
  });

  it('skips malformed records on every node', async () => {
    const log = new HttpLog(fleet.logUrl);
    const malformed = ['{', '{"kind":"change","base":4}', 'x'.repeat(100_000)];
    (await log.append('config', malformed)).unwrap();
    (
      await createPublisher('operator').publish(buildConfiguration(5_000))
    ).unwrap();
    await waitForVersion(5);
  });
});
