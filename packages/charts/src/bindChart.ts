/** Binds a chart file of this package to its actions, guards and delays. */
import type { Result } from '@lycheetally/common';
import { loadChart, type ChartName } from './chartFiles.js';
import {
  ChartMachine,
  type ChartBindings,
  type ChartEvent,
} from './chartMachine.js';

/** Loads a chart and binds every name that it uses. Fails with `BadChart`. */
export const bindChart = <C, E extends ChartEvent>(
  name: ChartName,
  bindings: ChartBindings<C, E>,
): Result<ChartMachine<C, E>> =>
  loadChart(name).andThen(chart => ChartMachine.bind<C, E>(chart, bindings));
