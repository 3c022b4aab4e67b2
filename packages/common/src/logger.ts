/** Logs: short sentences, each with the fixed prefix of its part. */
import type { Writable } from 'node:stream';
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
  Calls: 'calls',
  Store: 'store',
  Servers: 'servers',
  Layers: 'layers',
  Process: 'process',
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

/** Creates the loggers of a process; lines go to standard error, or to the output given, as JSON. */
export class LoggerFactory {
  private readonly logger: winston.Logger;

  constructor(processId: string, level = 'info', output?: Writable) {
    this.logger = winston.createLogger({
      level,
      defaultMeta: { process: processId },
      format: winston.format.combine(
        winston.format.timestamp(),
        winston.format.printf(formatLogLine),
      ),
    });
    this.logger.add(createTransport(output));
  }

  createLogger(part: LogPart): PartLogger {
    return new PartLogger(this.logger, part);
  }
}

const createTransport = (output: Writable | undefined): winston.transport => {
  const { Console, Stream } = winston.transports;
  const transport: unknown = output
    ? new Stream({ stream: output })
    : new Console({ stderrLevels: ['info', 'warn', 'error'] });
  // winston's transports are TransportStreams at run time; its types say less.
  return transport as winston.transport;
};

/** Formats one line of the log as JSON, whatever the values hold. */
export const formatLogLine = (
  info: winston.Logform.TransformableInfo,
): string => {
  const { timestamp, level, message, part, process, ...fields } = info;
  const line = JSON.stringify({
    at: timestamp,
    level,
    process,
    message: `[${String(part)}] ${String(message)}`,
    ...fields,
  });
  return line.replace(/[\p{Cc}\u2028\u2029]/gu, escapeCharacter);
};

// JSON leaves DEL and the C1 controls, which steer some terminals, as they are.
const escapeCharacter = (character: string): string =>
  `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`;
