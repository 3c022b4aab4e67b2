/** Invalid chart files are rejected with the file, the path and the fault. */
import { describe, expect, it } from 'vitest';
import { ErrorKind } from '@lycheetally/common';
import {
  ChartMachine,
  ChartName,
  compileChart,
  loadChart,
} from '../src/index.js';

const base = {
  id: 'lamp',
  initial: 'off',
  meta: { events: ['PRESS'] },
  states: {
    off: { on: { PRESS: 'on' } },
    on: { on: { PRESS: 'off' } },
  },
};

const compileInvalid = (change: object): string => {
  const compiled = compileChart(
    'lamp.json',
    JSON.stringify({ ...base, ...change }),
  );
  expect(compiled.err).toBe(true);
  if (compiled.ok) {
    return '';
  }
  expect(compiled.val.kind).toBe(ErrorKind.BadChart);
  return compiled.val.message;
};

describe('compileChart', () => {
  it('compiles a valid chart', () => {
    expect(compileChart('lamp.json', JSON.stringify(base)).ok).toBe(true);
  });

  it.each([
    [
      'an undeclared event',
      { meta: { events: [] } },
      'lamp.json: off: event "PRESS" is not declared',
    ],
    [
      'an end delay that no state uses',
      { meta: { events: ['PRESS'], endDelays: ['LIMIT'] } },
      'lamp.json: (meta): delay "LIMIT" of meta.endDelays is not used',
    ],
    [
      'a missing target',
      { states: { ...base.states, off: { on: { PRESS: 'dim' } } } },
      'lamp.json: off: target "dim" does not exist',
    ],
    [
      'an unreachable state',
      { states: { ...base.states, lost: {} } },
      'lamp.json: lost: state cannot be reached',
    ],
    [
      'a missing initial state',
      { initial: 'dim' },
      'lamp.json: lamp: initial state "dim" does not exist',
    ],
    [
      'an unknown key',
      { states: { off: { when: {} } } },
      'lamp.json: states.off',
    ],
  ])('refuses %s', (_, change, message) => {
    expect(compileInvalid(change)).toContain(message);
  });

  it('refuses text that is not JSON', () => {
    const compiled = compileChart('lamp.json', '{');
    expect(compiled.err && compiled.val.message).toContain(
      'lamp.json: (file): not JSON',
    );
  });

  it('names each missing and unused binding', () => {
    const chart = compileChart(
      'lamp.json',
      JSON.stringify({ ...base, entry: 'light', on: {} }),
    ).unwrap();
    const bound = ChartMachine.bind(chart, {
      actions: { dim: () => undefined },
      guards: {},
      delays: {},
    });
    expect(bound.err && bound.val.message).toContain(
      'action "light" is not registered',
    );
    expect(bound.err && bound.val.message).toContain(
      'action "dim" is not used',
    );
  });

  it.each(Object.values(ChartName))('compiles the shipped chart %s', name => {
    expect(loadChart(name).ok).toBe(true);
  });
});
