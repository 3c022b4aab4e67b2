/** Crashes are told apart by the order of what servers were sent. */
import { describe, expect, it } from 'vitest';
import { ServerRuns, maxRestartMs } from '../src/index.js';

const maxServers = 2;

describe('ServerRuns', () => {
  it('counts a crash once, however many requests it broke', () => {
    const runs = new ServerRuns(maxServers);
    const first = runs.noteCrashed('a', 10, 100);
    expect(runs.noteCrashed('a', 90, 101)).toBe(first);
    expect(runs.noteCrashed('a', 100, 102)).toBe(first);
  });

  it('counts the crash of a server that was sent a request after its last one', () => {
    const runs = new ServerRuns(maxServers);
    const first = runs.noteCrashed('a', 10, 100);
    expect(runs.noteCrashed('a', 4_000, 4_100)).not.toBe(first);
  });

  it('takes a server for down until it answers what it was sent since, or is expected back', () => {
    const runs = new ServerRuns(maxServers);
    expect(runs.isDown('a', 0)).toBe(false);
    runs.noteCrashed('a', 10, 100);
    runs.noteAnswered('a', 50);
    expect(runs.isDown('a', 101)).toBe(true);
    expect(runs.isDown('a', 100 + maxRestartMs)).toBe(false);
    runs.noteAnswered('a', 150);
    expect(runs.isDown('a', 200)).toBe(false);
    runs.noteUnreachable('a', 300);
    expect(runs.isDown('a', 301)).toBe(true);
  });

  it('forgets the server that was heard of longest ago', () => {
    const runs = new ServerRuns(maxServers);
    for (const server of ['a', 'b', 'c']) {
      runs.noteCrashed(server, 0, 1);
    }
    expect(['a', 'b', 'c'].map(server => runs.isDown(server, 2))).toEqual([
      false,
      true,
      true,
    ]);
  });
});
