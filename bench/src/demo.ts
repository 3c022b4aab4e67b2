/**
 * The demo: runs a small system in separate processes, with three ranks, two
 * client accounts and a booking service.
 */
import {
  RouterFleet,
  callService,
  computeExpectedText,
  defaultFleetOptions,
  fleetNames,
  streamCompletion,
  type CallerAnswer,
} from '@lycheetally/testkit';

const demoTokens = 12;

/** Prints a line of output. */
export type DemoPrinter = (line: string) => void;

const stopOrder = ['entry-0', 'agent-stage0-0', 'agent-stage1-0'];

/** Runs the demo and returns whether every answer was correct. */
export const runDemo = async (print: DemoPrinter): Promise<boolean> => {
  const fleet = new RouterFleet(defaultFleetOptions);
  try {
    print(
      'Starting a log, a VM list, 3 model engines that hold 4 layers each,',
    );
    print('2 plain services, an agent beside each, and 1 entry...');
    await fleet.start();
    print(
      `Ready: ${String(fleet.processes.listProcesses().length)} processes.`,
    );
    const results = [
      ...(await showRanks(fleet, print)),
      await showBooking(fleet, print),
      await showRefusal(fleet, print),
      await showKilledStage(fleet, print),
      await showStop(fleet, print),
    ];
    const isCorrect = results.every(Boolean);
    print(isCorrect ? 'Every answer was correct.' : 'An answer was WRONG.');
    return isCorrect;
  } finally {
    await fleet.dispose();
  }
};

const getEntry = (fleet: RouterFleet): string => fleet.entryUrls[0] ?? '';

const showRanks = (
  fleet: RouterFleet,
  print: DemoPrinter,
): Promise<boolean[]> =>
  Promise.all(
    fleetNames.ranks.map(async (rank, index) => {
      const account = fleetNames.accounts[index % fleetNames.accounts.length];
      const prompt = `a question of rank ${rank}`;
      const options = account === undefined ? { rank } : { rank, account };
      const entry = getEntry(fleet);
      const answer = await streamCompletion(entry, prompt, demoTokens, options);
      const { layers } = fleet.options;
      const expected = computeExpectedText(prompt, demoTokens, layers);
      const isCorrect = answer.text === expected && answer.isDone;
      print(
        `${rank} (${account ?? ''}): ${String(demoTokens)} tokens through 3 stages in ${String(answer.totalMs)} ms, outcome ${String(answer.outcome)}, checksum ${isCorrect ? 'correct' : 'WRONG'}`,
      );
      return isCorrect && answer.outcome === 'complete';
    }),
  );

const showBooking = async (
  fleet: RouterFleet,
  print: DemoPrinter,
): Promise<boolean> => {
  const body = { bundle: 'newborn', family: 'f-17' };
  const path = '/reservations';
  const { booking } = fleetNames;
  const answer = await callService(getEntry(fleet), booking, path, body, {
    idempotencyKey: 'demo-booking-1',
  });
  const url = fleet.backendUrls.get(`${booking}-0`) ?? '';
  const { runs } = (await fleet.get(`${url}/runs`)) as { runs: unknown[] };
  print(
    `booking: outcome ${String(answer.outcome)}, the service ran it ${String(runs.length)} time(s)`,
  );
  return answer.outcome === 'complete' && runs.length === 1;
};

const showRefusal = async (
  fleet: RouterFleet,
  print: DemoPrinter,
): Promise<boolean> => {
  const options = { rank: 'no-such-rank' };
  const entry = getEntry(fleet);
  const answer = await streamCompletion(entry, 'x', 1, options);
  print(
    `unknown rank: status ${String(answer.status)}, outcome ${String(answer.outcome)}`,
  );
  return answer.outcome === 'not-run' && answer.status === 400;
};

const killDelayMs = 60;
const longTokens = 200;

const showKilledStage = async (
  fleet: RouterFleet,
  print: DemoPrinter,
): Promise<boolean> => {
  const entry = getEntry(fleet);
  const pending = streamCompletion(entry, 'a long answer', longTokens, {
    deadlineMs: 2_000,
  });
  setTimeout(() => {
    fleet.processes.sendSignal('agent-stage2-0', 'SIGKILL');
  }, killDelayMs);
  const answer: CallerAnswer = await pending;
  print(
    `stage 3 killed during the answer: the caller received outcome ${String(answer.outcome)}`,
  );
  return !answer.isDone && ['failed', 'unknown'].includes(answer.outcome ?? '');
};

const showStop = async (
  fleet: RouterFleet,
  print: DemoPrinter,
): Promise<boolean> => {
  const codes: (number | null)[] = [];
  for (const name of stopOrder) {
    fleet.processes.sendSignal(name, 'SIGTERM');
    codes.push(await fleet.processes.getProcess(name).exited);
  }
  print(`graceful stop: exit codes ${codes.join(', ')}`);
  return codes.every(code => code === 0);
};
