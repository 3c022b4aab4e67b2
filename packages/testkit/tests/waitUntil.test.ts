/** Waiting for a state of a fleet survives a page that is late once, and names the fault that lasts. */
import { expect, it } from 'vitest';
import { waitUntil } from '../src/index.js';

it('keeps polling after a check that fails', async () => {
  let checks = 0;
  await waitUntil('the page answers', () => {
    checks += 1;
    if (checks === 1) {
      throw new Error('the page did not answer in time');
    }
    return true;
  });
  expect(checks).toBe(2);
});

it('names the fault of the last check at its timeout', async () => {
  const waiting = waitUntil(
    'the page answers',
    () => Promise.reject(new Error('no page')),
    1,
  );
  await expect(waiting).rejects.toThrow(/until the page answers: no page/);
});
