/** Renders charts to SVG. */

import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';

/** Renders a Vega-Lite chart as SVG text, without a browser, so that a page can contain the chart itself. */
export async function renderSvg(spec: TopLevelSpec): Promise<string> {
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  try {
    return await view.toSVG();
  } finally {
    view.finalize();
  }
}
