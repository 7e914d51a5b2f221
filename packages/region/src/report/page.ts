/** HTML report of a played day. */

import { Eta } from 'eta';
import type { SimulationScenario } from '../scenario/index.js';
import type { DayResult } from '../region.js';
import { renderTasksChart, renderLatencyChart, renderUpChart } from './charts.js';
import { formatAim, formatQuantiles } from './table.js';

/** Template of the page. The page is a single file that needs neither a network nor scripts. */
const PAGE_TEMPLATE = `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title><%= it.result.day %>, seed <%= it.result.seed %></title>
<style>
  body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 980px; padding: 0 1em; color: #222; }
  h1 { font-size: 1.5em; margin-bottom: 0; } h2 { font-size: 1.1em; margin-top: 2em; }
  table { border-collapse: collapse; width: 100%; }
  th, td { text-align: left; padding: 0.3em 0.7em 0.3em 0; border-bottom: 1px solid #ddd; vertical-align: top; }
  td.n, th.n { text-align: right; } .missed, .broken { color: #a00; } .kept { color: #060; } .dim { color: #666; }
  svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1><%= it.result.day %></h1>
<p class="dim">seed <%= it.result.seed %>, <%= it.result.simulatedS.toFixed(0) %> s of simulated time, on simulated machines</p>
<% if (it.result.breaches.length === 0) { %><p class="kept">No protocol rule was violated.</p><% } else { %>
<p class="broken">Violations of protocol rules: <%= it.result.breaches.length %></p>
<ul class="broken"><% for (const b of it.result.breaches.slice(0, 50)) { %><li><%= (b.at / 1000).toFixed(1) %> s <b><%= b.rule %></b>: <%= b.what %></li><% } %></ul><% } %>
<% if (it.result.defects.length > 0) { %><p class="broken">Defects:</p><pre><%= it.result.defects.join('\\n') %></pre><% } %>
<h2>Classes</h2>
<table>
<tr><th>class</th><th class="n">submitted</th><th class="n">done</th><th class="n">cancelled</th><th class="n">open</th><th>aims</th><th class="n">wait s</th><th class="n">finish s</th><th class="n">restarts</th></tr>
<% for (const c of it.result.classes) { %>
<tr><td><b><%= c.name %></b><br><span class="dim"><%= c.shape %></span></td><td class="n"><%= c.submitted %></td><td class="n"><%= c.shape === 'service' ? '-' : c.done %></td><td class="n"><%= c.cancelled %></td><td class="n"><%= c.open %></td>
<td><% for (const a of c.aims) { %><span class="<%= a.share !== null && a.share < a.aim.share ? 'missed' : '' %>"><%= it.formatAim(a) %></span><br><% } %></td>
<td class="n"><%= it.formatQuantiles(c.waitS) %></td><td class="n"><%= it.formatQuantiles(c.finishS) %></td><td class="n"><%= c.restarts %></td></tr>
<% } %>
</table>
<p class="dim">Times to the first start and to completion at the 50th / 95th / 99th percentile, in seconds since submission.</p>
<p>Cost: <%= it.result.money.spent.toFixed(2) %> spent<% if (it.result.money.price !== null) { %>, <%= it.result.money.price.toFixed(2) %> times the lowest possible cost of the useful work<% } %>.
Machines: <%= it.result.machines.rented %> rented, <%= it.result.machines.neverUp %> never came up, <%= it.result.machines.takenBack %> reclaimed, <%= it.result.machines.died %> failed.
Controller starts: <%= it.result.controllerStarts %>.</p>
<h2>Running tasks</h2><%~ it.charts.running %>
<h2>Waiting tasks</h2><%~ it.charts.waiting %>
<h2>Machines and controllers</h2><%~ it.charts.machines %><%~ it.charts.controllers %>
<% if (it.day.troubles.length > 0) { %><p class="dim">Shaded: times of troubles.
<% for (const t of it.day.troubles) { %><%= t.kind %> at <%= t.at_s %> s<% if ('for_s' in t) { %> for <%= t.for_s %> s<% } %>; <% } %></p><% } %>
<h2>Start and completion times</h2><%~ it.charts.times %>
<p class="dim">Event log: <%= it.result.events %> lines, SHA-256 <%= it.result.digest %>.</p>
</body>
</html>
`;

/** Renders the result of a played day as one HTML page. */
export async function renderDayPage(result: DayResult, day: SimulationScenario): Promise<string> {
  const { troubles } = day;
  const charts = {
    running: await renderTasksChart(result, 'running', troubles),
    waiting: await renderTasksChart(result, 'waiting', troubles),
    machines: await renderUpChart(result, 'machinesUp', troubles),
    controllers: await renderUpChart(result, 'controllersUp', troubles),
    times: await renderLatencyChart(result),
  };
  return new Eta({ autoEscape: true }).renderString(PAGE_TEMPLATE, {
    result,
    day,
    charts,
    formatAim,
    formatQuantiles,
  });
}
