/** Logs: short sentences, each with the fixed prefix of its part. */
import winston from 'winston';
import type { ValueOf } from './types.js';

/** The parts that write logs, and their prefixes. */
export const LogPart = {
  Entry: 'entry',
  Agent: 'agent',
  Peers: 'peers',
  Callers: 'callers',
  Operators: 'operators',
  Config: 'config',
  Members: 'members',
  Claims: 'claims',
  Orders: 'orders',
  Ledger: 'ledger',
  Command: 'command',
  StandIn: 'stand-in',
} as const;
export type LogPart = ValueOf<typeof LogPart>;

/** Named values written after the sentence. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Writes the log lines of one part of one process. */
export class PartLogger {
  constructor(
    private readonly logger: winston.Logger,
    private readonly part: LogPart,
  ) {}

  info(sentence: string, fields: LogFields = {}): void {
    this.logger.info(sentence, { part: this.part, ...fields });
  }

  warn(sentence: string, fields: LogFields = {}): void {
    this.logger.warn(sentence, { part: this.part, ...fields });
  }

  error(sentence: string, fields: LogFields = {}): void {
    this.logger.error(sentence, { part: this.part, ...fields });
  }
}

/** Creates the loggers of a process; lines go to standard error as JSON. */
export class LoggerFactory {
  private readonly logger: winston.Logger;

  constructor(processId: string, level = 'info') {
    this.logger = winston.createLogger({
      level,
      defaultMeta: { process: processId },
      format: winston.format.combine(
        winston.format.timestamp(),
        winston.format.printf(formatLine),
      ),
    });
    this.logger.add(
      // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment -- winston's Console is a TransportStream at run time
      new winston.transports.Console({
        stderrLevels: ['info', 'warn', 'error'],
      }),
    );
  }

  createLogger(part: LogPart): PartLogger {
    return new PartLogger(this.logger, part);
  }
}

const formatLine = (info: winston.Logform.TransformableInfo): string => {
  const { timestamp, level, message, part, process, ...fields } = info;
  return JSON.stringify({
    at: timestamp,
    level,
    process,
    message: `[${String(part)}] ${String(message)}`,
    ...fields,
  });
};
