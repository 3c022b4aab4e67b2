/**
 * Reads the settings at the start of a gateway. The platform may still be writing the
 * file: a file that is missing or empty is waited for, and one that is not valid, which
 * may be a part, for a shorter time.
 */
import { statSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import type { Result } from '@lycheetally/common';
import type { PlatformSettings } from '@lycheetally/platform';

/** How long a missing or empty file is waited for, in milliseconds; longer than a VM takes to write it. */
const maxMissingMs = 15_000;

/** How long a file that is not valid is read again, in milliseconds. */
const maxInvalidMs = 2_000;

/** Delay before the file is read again, in milliseconds. */
const retryDelayMs = 200;

export const waitForSettings = async (
  path: string,
  loadSettings: () => Result<PlatformSettings>,
): Promise<Result<PlatformSettings>> => {
  for (let waitedMs = 0; ; waitedMs += retryDelayMs) {
    const settings = loadSettings();
    const maxWaitMs = isWritten(path) ? maxInvalidMs : maxMissingMs;
    if (settings.ok || waitedMs >= maxWaitMs) {
      return settings;
    }
    await wait(retryDelayMs);
  }
};

const isWritten = (path: string): boolean =>
  (statSync(path, { throwIfNoEntry: false })?.size ?? 0) > 0;
