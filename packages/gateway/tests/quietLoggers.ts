/** Loggers of tests that do not look at the log. */
import { Writable } from 'node:stream';
import { LoggerFactory } from '@lycheetally/common';

export const createQuietLoggers = (): LoggerFactory =>
  new LoggerFactory(
    'gateway-1',
    'info',
    new Writable({
      write: (_line, _encoding, done) => {
        done();
      },
    }),
  );
