import { pino } from 'pino';
import { stringify } from 'smol-toml';
import type { JobSpec } from '../../../../src/jobs/index.js';
import { HttpClient } from '../../../../src/kernel/index.js';
import {
  SimulatedJob,
  RandomStream,
  parseScenario,
  Region,
  type SimulationScenario,
  type Script,
  type Submission,
} from '../../../region/src/index.js';
import { MemoryFiles, readTrace, Recorder, TraceStore, type Files } from '../../../trace/src/index.js';
import { cloudCapacity, kindKeyOf, jobOutcomes, readNight, type Scenario } from '../night/index.js';
import type { ReplayResult, ReplayOptions } from './replay-result.js';
import { runTimesOf, machineScripts } from './scripted-inputs.js';
import { MAX_OVERTIME_S } from './replay-delays.js';

/** Time before the night in which controllers that were already running acquire their shards and machines. */
const WARM_UP_S = 30;
/** Number of events that each controller keeps for the recorder. */
const TRAIL_EVENTS = 400_000;

/** Names of job kinds and priorities in the region's submission API. */
const SHAPE_BY_KIND = { array: 'sweep', gang: 'ensemble', service: 'daemon' } as const;
const URGENCY_BY_PRIORITY = ['low', 'standard', 'urgent', 'production'] as const;

/** Converts a job specification to the submission that users send. */
const submissionOf = (spec: JobSpec): Submission => ({
  ...{ ref: spec.id, jobclass: spec.jobClass, owner: spec.team, shape: SHAPE_BY_KIND[spec.kind] },
  ...{ urgency: URGENCY_BY_PRIORITY[spec.priority], pieces: spec.tasks, vcpus: spec.cpus, accelerators: spec.gpus },
  ...{ ram_gb: spec.memoryGb, bundle: spec.image, pull_gb: spec.imageGb, hulls: spec.types, berth: spec.zone },
  ...{ same_place: spec.oneZone, scatter: spec.spread, flotsam: spec.spot, expected_s: spec.estimateS },
  ...{ mark_every_s: spec.checkpointS, mark_cost_s: spec.saveS, due_s: spec.deadlineS },
});

/** Placeholder distribution: nothing is drawn from it because the script sets tasks and run times. */
const CONSTANT_ONE = { median: 1, p95: 1, max: 1 };
/** Kinds of objectives that the classes of a simulated day also support. */
const AIM_KINDS = new Set(['wait', 'finished', 'deadline', 'up']);

/** Builds a day of the simulated region from the recorded platform. */
function dayFromScenario(scenario: Scenario, seed: number, warmUpS: number): SimulationScenario {
  const { facts } = scenario;
  const classes = new Map<string, JobSpec>();
  for (const { spec } of scenario.jobs) if (!classes.has(spec.jobClass)) classes.set(spec.jobClass, spec);
  const kinds = facts.types.flatMap(({ name, zones }) => zones.map((zone) => ({ name, zone })));
  const initial = new Map<string, number>();
  for (const m of scenario.machines)
    if (m.initial && m.upAfterS !== null) initial.set(m.kind, (initial.get(m.kind) ?? 0) + 1);
  const day = {
    ...{
      name: 'replay',
      seed,
      duration_s: Math.min(100_000, warmUpS + scenario.lengthS + MAX_OVERTIME_S),
      zones: facts.zones,
    },
    controllers: { count: scenario.controllers, skew_ms: facts.skewMs },
    state: { rps: facts.state.rps, write_rps: facts.state.writeRps, value_kb: facts.state.valueKb },
    cloud: { rps: facts.cloud.rps, list_lag_s: facts.cloud.listLagMs / 1000, spot_losses_per_hour: 0 },
    workers: {
      ...{ report_s: facts.workers.reportMs / 1000, lease_s: facts.workers.leaseMs / 1000 },
      ...{ gang_wait_s: facts.workers.gangWaitMs / 1000, gang_peer_s: facts.workers.gangPeerMs / 1000 },
      cancel_s: facts.workers.cancelMs / 1000,
    },
    teams: Object.entries(facts.teams).map(([name, t]) => ({
      ...{ name, cpus: t.cpus, cpus_max: t.cpusMax, gpus: t.gpus, gpus_max: t.gpusMax },
    })),
    machine_types: facts.types.map((t) => ({
      ...{ name: t.name, cpus: t.cpus, gpus: t.gpus, memory_gb: t.memoryGb, price: t.price },
      ...{ spot_price: t.spotPrice, boot_s: Math.max(0.1, t.bootS), boot_fail: 0 },
      ...(t.cacheGb > 0 ? { cache_gb: t.cacheGb } : {}),
      ...(t.fetchGbPerS > 0 ? { fetch_gb_per_s: t.fetchGbPerS } : {}),
    })),
    capacity: kinds.map(({ name, zone }) => ({
      ...{ type: name, zone, ordinary: cloudCapacity(scenario, `${name} ${zone} ordinary`) },
      spot: cloudCapacity(scenario, `${name} ${zone} spot`),
    })),
    machines: kinds.flatMap(({ name, zone }) =>
      [false, true].flatMap((spot) => {
        const count = initial.get(kindKeyOf({ type: name, zone, spot })) ?? 0;
        return count > 0 ? [{ type: name, zone, spot, count }] : [];
      }),
    ),
    classes: [...classes].map(([name, spec]) => ({
      ...{
        name,
        shape: spec.kind,
        team: spec.team,
        priority: URGENCY_BY_PRIORITY[spec.priority],
        tasks: CONSTANT_ONE,
        run_s: CONSTANT_ONE,
      },
      ...{ cpus: Math.max(0.001, spec.cpus), gpus: spec.gpus, memory_gb: Math.max(0.001, spec.memoryGb), initial: 1 },
      deadline_factor: 1,
      aims: facts.objectives
        .filter(
          (o) =>
            o.jobClass === name &&
            AIM_KINDS.has(o.kind) &&
            (o.kind === 'up') === (spec.kind === 'service' && o.kind !== 'wait'),
        )
        .map(({ kind, withinS, share }) => ({
          ...(kind === 'deadline' ? { kind } : { kind, within_s: Math.max(0.1, withinS ?? 1) }),
          share: share ?? 1,
        })),
    })),
  };
  return parseScenario(stringify(day), 'the recorded platform');
}

/** Records a simulated region while `play` runs, through the same event trails and recorder as on a real platform. */
export async function recordRegion(
  region: Region,
  files: Files,
  play: () => Promise<void>,
  pollMs = 500,
): Promise<void> {
  const { store, rowsById } = await TraceStore.open(files, region.dayStartWallMs);
  const runtime = region.createExternalProcess('recorder');
  const sources = region.controllers.map(({ spec }) => ({ node: spec.name, at: spec.serveOn }));
  const options = { pollMs, segmentRows: 50_000, segmentMs: 60_000, keep: { ageMs: null, bytes: null } };
  const recorder = new Recorder(store, rowsById, sources, options, runtime, pino({ level: 'silent' }));
  recorder.start();
  await play();
  let closed = false;
  const closing = recorder.close().then(() => (closed = true));
  while (!closed) await region.play(region.now / 1000 + 1);
  await closing;
}

/** Delay between attempts to change the settings. */
const SETTINGS_RETRY_MS = 500;

/**
 * Applies the recorded operator settings through the administration API, retrying until the first controller accepts
 * them.
 */
async function applyTunables(region: Region, tunables: Readonly<Record<string, number>>): Promise<void> {
  const runtime = region.createExternalProcess('operator');
  const [controller] = region.controllers;
  if (!controller) return;
  const client = new HttpClient(controller.spec.serveOn, 1, runtime);
  for (;;) {
    const call = { method: 'PATCH', path: '/admin/v1/settings/tunables', body: tunables, timeoutMs: 2000 } as const;
    const answer = await client.call(call);
    if (answer.kind === 'answered' && answer.status === 200) break;
    await runtime.sleep(SETTINGS_RETRY_MS);
  }
  client.close();
}

/**
 * Replays a scenario with whole controllers on the models of the simulated region. Submissions, run times and faults
 * are those of the scenario.
 */
export async function replayWithControllers(
  scenario: Scenario,
  seed: number,
  options: ReplayOptions = {},
): Promise<ReplayResult> {
  const warmUpS = scenario.coldStart ? 0 : WARM_UP_S;
  const random = new RandomStream(seed, 'replay');
  const script: Script = {
    machine: machineScripts(scenario, warmUpS, random.fork('boots')).scriptOf,
    crashes: scenario.crashes.map((crash) => ({ ...crash, atS: crash.atS + warmUpS })),
    jobs: scenario.jobs.map((job) => ({
      atS: Math.max(0, job.atS + warmUpS),
      job: new SimulatedJob(submissionOf(job.spec), runTimesOf(job, scenario, random), job.mistaken),
      cancelAtS: job.cancelAtS === null ? null : job.cancelAtS + warmUpS,
    })),
  };
  const day = dayFromScenario(scenario, seed, warmUpS);
  const { tunables } = scenario.facts.settings;
  const region = new Region({ day, script, trailEvents: TRAIL_EVENTS });
  const files = new MemoryFiles();
  const endS = warmUpS + scenario.lengthS;
  await recordRegion(region, files, async () => {
    if (tunables && Object.keys(tunables).length > 0) void applyTunables(region, tunables);
    for (let untilS = Math.min(endS, day.duration_s); ; untilS = Math.min(untilS + 10, day.duration_s)) {
      await region.play(untilS, {
        ...(options.stop ? { stop: options.stop } : {}),
        moved: (nowMs) => {
          options.onProgress?.(Math.max(0, nowMs / 1000 - warmUpS));
          return undefined;
        },
      });
      if (options.stop?.() === true || untilS >= day.duration_s || region.parts.statistics.unfinishedBatchJobs === 0)
        return;
    }
  });
  const result = region.close();
  const night = readNight({ ...(await readTrace(files)), fromMs: region.dayStartWallMs + warmUpS * 1000 });
  const timeline = result.timeline.map((sample) => ({ ...sample, atS: sample.atS - warmUpS }));
  return { outcomes: jobOutcomes(night), money: result.money.spent, timeline };
}
