/** Runs a case and ends the process with its verdict. */
import { CaseRecord } from './record.js';

export const Verdict = {
  Held: 0,
  Broken: 1,
  CouldNotRun: 2,
} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

export interface Case {
  /** Runs it, without the disruption if it has none; returns what was seen. */
  run(record: CaseRecord, hasTrouble: boolean): Promise<Verdict>;
  /** Ends all processes and connections that it started. */
  dispose(): void;
}

/** Time after which a case is given up, in milliseconds. */
const maxCaseMs = 115_000;

/** Runs the case; its record goes into the folder that the command line names. */
export const runCase = async (each: Case): Promise<void> => {
  const [, , folder = '.'] = process.argv;
  const record = new CaseRecord(`${folder}/record.txt`);
  const hasTrouble = process.env.TROUBLE !== '0';
  const limit = setTimeout(() => {
    record.note('the case took too long');
    finish(each, Verdict.CouldNotRun);
  }, maxCaseMs);
  try {
    const verdict = await each.run(record, hasTrouble);
    clearTimeout(limit);
    record.note(verdict === Verdict.Broken ? 'the rule was broken' : 'it held');
    finish(each, verdict);
  } catch (thrown) {
    record.note(`the case could not run: ${String(thrown)}`);
    finish(each, Verdict.CouldNotRun);
  }
};

const finish = (each: Case, verdict: Verdict): void => {
  each.dispose();
  process.exit(verdict);
};
