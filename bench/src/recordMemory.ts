/** Measures the heap size of the event and outcome records that a process keeps for operators. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { EventLog, OutcomeLedger } from '@lycheetally/router';

const records = 20_000;

/** Returns the heap bytes of one record, for each kind of record. */
export const measureRecordBytes = (): { event: number; outcome: number } => {
  const events = new EventLog('entry-1', records);
  const event = measureBytes(number => {
    events.record('attempt-offered', number, {
      requestId: `entry-1.abcdefgh.${String(number)}`,
      attempt: 1,
      detail: { servers: `stage0-${String(number)},stage1-0,stage2-0` },
    });
  });
  const limits = { maxRecords: records, retentionMs: Number.MAX_SAFE_INTEGER };
  const ledger = new OutcomeLedger('entry-1', limits);
  const outcome = measureBytes(number => {
    ledger.append({
      requestId: `entry-1.abcdefgh.${String(number)}`,
      callerRequestId: `caller-${String(number)}`,
      account: 'depot-north',
      rank: 'family',
      service: 'pickup-assistant',
      outcome: 'complete',
      errorKind: '',
      tokensIn: 8,
      tokensOut: 270,
      attempts: 1,
      servers: ['stage0-0', 'stage1-0', 'stage2-0'],
      receivedAt: number,
      firstTokenAt: number,
      endedAt: number,
    });
  });
  if (events.list().length + ledger.size !== 2 * records) {
    throw new Error('The records were not kept');
  }
  return { event, outcome };
};

const measureBytes = (add: (number: number) => void): number => {
  setFlagsFromString('--expose_gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  for (let number = 0; number < records; number += 1) {
    add(number);
  }
  collectGarbage();
  return (process.memoryUsage().heapUsed - before) / records;
};
