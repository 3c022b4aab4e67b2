/** Writes the record by which other gateways find this one; context of the chart `peerRecord`. */
import { z } from 'zod';
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import {
  addressSchema,
  formatAddress,
  type ComponentLogger,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import { peerWriteRetryMs } from '../constants.js';
import type { TableWriterPort } from '../ports.js';
import type { PeerRecord } from './peerDirectory.js';

const recordSchema = z.object({
  address: addressSchema,
  failureDomain: z.string(),
});

/** Decodes a gateway's record. Throws when a field is missing or invalid. */
export const decodePeer = (_id: string, text: string): PeerRecord =>
  recordSchema.parse(JSON.parse(text));

const encodePeer = ({ address, failureDomain }: PeerRecord): string =>
  JSON.stringify({ address: formatAddress(address), failureDomain });

interface AnnouncementEvent {
  readonly type: 'WRITTEN' | 'FAILED' | 'REPLACED';
}

export type AnnouncementMachine = ChartMachine<
  PeerAnnouncement,
  AnnouncementEvent
>;

export interface AnnouncementServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  readonly writer: TableWriterPort;
  postCompletion(run: (now: Milliseconds) => void): void;
  /** Called when the record is written, also again. */
  handleWritten(now: Milliseconds): void;
}

export class PeerAnnouncement {
  private readonly chart: ChartInstance<PeerAnnouncement, AnnouncementEvent>;

  constructor(
    machine: AnnouncementMachine,
    private readonly services: AnnouncementServices,
    private readonly id: string,
    private readonly record: PeerRecord,
  ) {
    this.chart = machine.createInstance(this, services.timers);
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  dispose(): void {
    this.chart.dispose();
  }

  /** The store came back from an older copy, which may lack the record. */
  noteReplaced(now: Milliseconds): void {
    this.chart.send({ type: 'REPLACED' }, now);
  }

  writeRecord(): void {
    const { services, id, record } = this;
    void services.writer.writeValue(id, encodePeer(record)).then(result => {
      services.postCompletion(now => {
        this.receive(result, now);
      });
    });
  }

  noteWritten(now: Milliseconds): void {
    this.services.log.info('This gateway can be found by others.', {
      address: formatAddress(this.record.address),
    });
    this.services.handleWritten(now);
  }

  private receive(result: Result<void>, now: Milliseconds): void {
    if (result.err) {
      this.services.log.warn('The record of this gateway was not written.', {
        reason: result.val.message,
      });
    }
    this.chart.send({ type: result.err ? 'FAILED' : 'WRITTEN' }, now);
  }
}

/** Binds the chart `peerRecord`. Fails with `BadChart`. */
export const bindAnnouncementChart = (): Result<AnnouncementMachine> =>
  bindChart<PeerAnnouncement, AnnouncementEvent>(ChartName.PeerRecord, {
    actions: {
      writeRecord: announcement => {
        announcement.writeRecord();
      },
      noteWritten: (announcement, _, now) => {
        announcement.noteWritten(now);
      },
    },
    guards: {},
    delays: { RETRY_DELAY: () => peerWriteRetryMs },
  });
