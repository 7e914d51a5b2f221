/** Charts of a played day. */

import { renderSvg } from './svg.js';
import type { Field } from 'vega-lite/build/src/channeldef.js';
import type { UnitSpec } from 'vega-lite/build/src/spec/unit.js';
import type { Fault } from '../scenario/index.js';
import type { DayResult } from '../region.js';

const CHART_WIDTH_PX = 860;

/** Settings that all charts share. */
const chartDefaults = { $schema: 'https://vega.github.io/schema/vega-lite/v5.json', width: CHART_WIDTH_PX } as const;
/** Horizontal axis of the charts over time. */
const timeAxis = { field: 'atS', type: 'quantitative', title: 'seconds since the start of the day' } as const;

/** Marks faults in a chart: a line at the beginning of each, and a band for those with a duration. */
const faultMarks = (faults: readonly Fault[]): UnitSpec<Field>[] => {
  const values = faults.map((t) => ({
    kind: t.kind,
    atS: t.at_s,
    endS: t.at_s + ('for_s' in t ? t.for_s : 0),
  }));
  return [
    {
      data: { values },
      mark: { type: 'rect', opacity: 0.08, color: '#b00' },
      encoding: { x: { field: 'atS', type: 'quantitative' }, x2: { field: 'endS' } },
    },
    {
      data: { values },
      mark: { type: 'rule', opacity: 0.5, color: '#b00', strokeDash: [3, 3] },
      encoding: { x: { field: 'atS', type: 'quantitative' } },
    },
  ];
};

/** Renders the number of running or waiting tasks over time, stacked by class. */
export function renderTasksChart(
  { timeline }: DayResult,
  which: 'running' | 'waiting',
  faults: readonly Fault[],
): Promise<string> {
  const values = timeline.flatMap((sample) =>
    Object.entries(sample[which]).map(([name, tasks]) => ({ atS: sample.atS, class: name, tasks })),
  );
  return renderSvg({
    ...chartDefaults,
    height: 200,
    layer: [
      {
        data: { values },
        mark: { type: 'area', interpolate: 'step-after' },
        encoding: {
          x: timeAxis,
          y: { field: 'tasks', type: 'quantitative', stack: 'zero', title: `tasks ${which}` },
          color: { field: 'class', type: 'nominal' },
        },
      },
      ...faultMarks(faults),
    ],
  });
}

/** Renders the number of machines or controllers that were up over time. */
export function renderUpChart(
  { timeline }: DayResult,
  which: 'machinesUp' | 'controllersUp',
  faults: readonly Fault[],
): Promise<string> {
  const machines = which === 'machinesUp';
  return renderSvg({
    ...chartDefaults,
    height: machines ? 120 : 60,
    layer: [
      {
        data: { values: timeline.map((sample) => ({ atS: sample.atS, up: sample[which] })) },
        mark: { type: 'line', interpolate: 'step-after' },
        encoding: {
          x: timeAxis,
          y: {
            field: 'up',
            type: 'quantitative',
            title: machines ? 'machines up' : 'controllers up',
            axis: { tickMinStep: 1 },
          },
        },
      },
      ...faultMarks(faults),
    ],
  });
}

/** Renders the times to first start and to completion by class, at three percentiles. */
export function renderLatencyChart({ classes }: DayResult): Promise<string> {
  const values = classes.flatMap(({ name, waitS, finishS }) =>
    (
      [
        ['wait', waitS],
        ['finished', finishS],
      ] as const
    ).flatMap(([what, q]) =>
      q ? (['p50', 'p95', 'p99'] as const).map((p) => ({ class: name, what, percentile: p, seconds: q[p] })) : [],
    ),
  );
  return renderSvg({
    ...chartDefaults,
    width: CHART_WIDTH_PX / 2 - 60,
    data: { values },
    mark: 'point',
    encoding: {
      column: { field: 'what', type: 'nominal', title: null },
      x: { field: 'seconds', type: 'quantitative', scale: { type: 'log' }, title: 'seconds since submission' },
      y: { field: 'class', type: 'nominal', title: null },
      color: { field: 'percentile', type: 'nominal' },
      shape: { field: 'percentile', type: 'nominal' },
    },
  });
}
