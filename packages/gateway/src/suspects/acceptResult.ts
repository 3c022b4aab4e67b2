/** What a check of a server's address found. */
import type { ValueOf } from '@lycheetally/common';

/** What became of a connection to a server. */
export const AcceptResult = {
  /** The server keeps it open. */
  Open: 'open',
  /** The server closed or reset it: its process has ended, or takes no more of them. */
  Closed: 'closed',
  /** Nothing listens at the address, or nothing answers there. */
  Absent: 'absent',
} as const;
export type AcceptResult = ValueOf<typeof AcceptResult>;
