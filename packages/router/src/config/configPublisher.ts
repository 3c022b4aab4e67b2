/** Runs publications for operators' commands, on an event loop of its own. */
import { randomUUID } from 'node:crypto';
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Result,
} from '@lycheetally/common';
import {
  ConditionalAcceptance,
  ConfigVerdict,
  type RouterConfiguration,
} from '@lycheetally/decisions';
import type { Clock } from '@lycheetally/node';
import { EventLoop } from '@lycheetally/node';
import type { LogPort } from '../ports/platform.js';
import {
  Publication,
  bindPublicationChart,
  type PublicationEvent,
  type PublicationRequest,
  type PublicationResult,
} from './publication.js';
import { readConfigStream, type StreamReplay } from './readConfigStream.js';

interface PublisherEvents {
  publicationEvent: { publication: Publication; event: PublicationEvent };
  publicationStarted: { publication: Publication };
}

export class ConfigPublisher {
  private readonly loop: EventLoop<PublisherEvents>;
  private readonly acceptance = new ConditionalAcceptance();

  constructor(
    private readonly logPort: LogPort,
    clock: Clock,
    private readonly author: string,
  ) {
    this.loop = new EventLoop<PublisherEvents>(clock);
    this.loop.setHandlers({
      publicationEvent: ({ publication, event }, now) => {
        publication.receive(event, now);
      },
      publicationStarted: ({ publication }, now) => {
        publication.start(now);
      },
    });
  }

  /** Reads the stream to its end. Fails as `readConfigStream` does. */
  read(): Promise<Result<StreamReplay>> {
    return readConfigStream(this.logPort, this.acceptance, undefined);
  }

  /**
   * Publishes a configuration as the successor of `baseVersion`, or of whatever
   * version is current.
   * Fails with `ConfigConflict`, `ConfigOutcomeUnknown`, `BadSetting` or
   * `PlatformUnavailable`.
   */
  publish(
    configuration: RouterConfiguration,
    baseVersion?: number,
  ): Promise<Result<PublicationResult>> {
    return this.runPublication({
      baseVersion,
      buildConfiguration: () => Ok(configuration),
    });
  }

  /**
   * Publishes the contents of an earlier version as a new one. Fails with
   * `Usage` if the log does not hold that version, and as `publish` does.
   */
  publishEarlierVersion(version: number): Promise<Result<PublicationResult>> {
    return this.runPublication({
      buildConfiguration: replay => findVersion(replay, version),
    });
  }

  private async runPublication(
    request: Pick<PublicationRequest, 'baseVersion' | 'buildConfiguration'>,
  ): Promise<Result<PublicationResult>> {
    const machine = bindPublicationChart();
    if (machine.err) {
      return Err(machine.val);
    }
    return new Promise(resolve => {
      const publication: Publication = new Publication(
        machine.val,
        {
          timers: this.loop,
          logPort: this.logPort,
          acceptance: this.acceptance,
          postPublicationEvent: event => {
            this.loop.post('publicationEvent', { publication, event });
          },
          handleResult: resolve,
        },
        { id: randomUUID(), author: this.author, ...request },
      );
      this.loop.post('publicationStarted', { publication });
    });
  }
}

const findVersion = (
  replay: StreamReplay,
  version: number,
): Result<RouterConfiguration> => {
  const found = replay.decisions.find(
    ({ verdict, state }) =>
      verdict === ConfigVerdict.Accepted &&
      state?.configuration.version === version,
  );
  if (found?.state) {
    return Ok(found.state.configuration);
  }
  return Err(
    new TypedError(
      ErrorKind.Usage,
      `version ${String(version)} is not in the log`,
      'name one that "config history" lists',
    ),
  );
};
