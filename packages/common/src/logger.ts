/** Logging as JSON lines; each message is prefixed with the component that logs it. */
import type { Writable } from 'node:stream';
import winston from 'winston';
import type { ValueOf } from './types.js';

/** The components that log, and their prefixes. */
export const LogComponent = {
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
  Prompts: 'prompts',
  Process: 'process',
  StandIn: 'stand-in',
} as const;
export type LogComponent = ValueOf<typeof LogComponent>;

/** Additional fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Logs messages of one component. */
export class ComponentLogger {
  constructor(
    private readonly logger: winston.Logger,
    private readonly component: LogComponent,
  ) {}

  info(message: string, fields: LogFields = {}): void {
    this.logger.info(message, { component: this.component, ...fields });
  }

  warn(message: string, fields: LogFields = {}): void {
    this.logger.warn(message, { component: this.component, ...fields });
  }

  error(message: string, fields: LogFields = {}): void {
    this.logger.error(message, { component: this.component, ...fields });
  }
}

/** Creates the loggers of a process. Lines go to standard error unless an output is given. */
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

  createLogger(component: LogComponent): ComponentLogger {
    return new ComponentLogger(this.logger, component);
  }
}

const createTransport = (output: Writable | undefined): winston.transport => {
  const { Console, Stream } = winston.transports;
  const transport: unknown = output
    ? new Stream({ stream: output })
    : new Console({ stderrLevels: ['info', 'warn', 'error'] });
  // At run time these are TransportStreams; winston's type declarations do not say so.
  return transport as winston.transport;
};

/** Formats a log entry as one line of JSON without control characters. */
export const formatLogLine = (
  info: winston.Logform.TransformableInfo,
): string => {
  const { timestamp, level, message, component, process, ...fields } = info;
  const line = JSON.stringify({
    at: timestamp,
    level,
    process,
    message: `[${String(component)}] ${String(message)}`,
    ...fields,
  });
  return line.replace(/[\p{Cc}\u2028\u2029]/gu, escapeCharacter);
};

// JSON does not escape DEL and the C1 control characters, which some terminals interpret.
const escapeCharacter = (character: string): string =>
  `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`;
