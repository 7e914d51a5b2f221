import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';

/** Drawn without a browser: the page holds the picture itself. */
export async function svg(spec: TopLevelSpec): Promise<string> {
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  try {
    return await view.toSVG();
  } finally {
    view.finalize();
  }
}
