import { adminRouter, SettingsStore } from '../admin/index.js';
import { Carrier, leftoverForMs, type BoundFacts } from '../carry/index.js';
import { CloudClient } from '../cloud/index.js';
import type { Settings } from '../config/index.js';
import { ShardHolder, type HolderDeps, type ReportReply } from '../holder/index.js';
import { JobRegistry } from '../jobs/index.js';
import {
  incarnation,
  ReconcileLoop,
  shardName,
  SocketBudget,
  type Incarnation,
  type Logger,
  type NodeName,
  type Revision,
  type Runtime,
  type ShardName,
} from '../kernel/index.js';
import { Leader } from '../leasing/index.js';
import { Steward } from '../pipelines/index.js';
import { LEASE_MS, Membership, ShardDirectory, type ShardValue } from '../membership/index.js';
import type { QuotaShares } from '../quota/index.js';
import { PeerLink, type PeerMessage, type Received } from '../peers/index.js';
import { CARRIED_CANCELLATIONS, Conductor, FEATURES, GROUPED_PROGRESS, RELEASE, Switches } from '../rollout/index.js';
import {
  JOBS,
  LIVE,
  Mirror,
  PAGES,
  PROGRESS,
  QUOTAS,
  SHARDS,
  StateClient,
  TYPES,
  type Change,
} from '../state/index.js';
import { encodeRedirect, WorkerReachability, type WorkerMessage } from '../workers/index.js';
import { ANNOUNCEMENT, FEATURE_NAMES } from './announcement.js';
import { createApp, laneRoutes, listen, type Handlers, type Listener } from './http.js';
import { Trail } from '../trail/index.js';
import { Forms } from './forms.js';
import { Health } from './health.js';
import { checkReachability } from './reachability.js';
import { handlePeer } from './peers.js';
import { createQuotas } from './quota.js';
import { ShardRoutes } from './routes.js';
import { TypeBook } from './types.js';
import { rolloutDesk } from './overview.js';
import { nodeStatus } from './status.js';
import { ShardOwnership } from './ownership.js';
import { trailView } from './trailview.js';
import { UserDesk } from './users.js';

const SUMMARY_EVERY_MS = 800;
const QUOTA_EVERY_MS = 400;
/** Looking costs a walk through the shard's tasks. */
const QUOTA_SETTLE_MS = 250;
const CARRY_EVERY_MS = 500;
const REST_FACTOR = 20;
/** Sockets for the state service, the cloud, the peers and the listeners. */
const KEPT_SOCKETS = 40;

/** Of the sockets that it may have: for users' and workers' connections, and for commands to workers. */
const incoming = (most: number): number => Math.max(50, Math.floor(most * 0.7));
const outgoing = (most: number): number => Math.max(20, most - incoming(most) - KEPT_SOCKETS);

export interface ServiceOptions {
  /** How many of its last events it keeps for those who record them; none are kept when not given. */
  readonly trailEvents?: number;
}

/** One controller: all slices put together. */
export class Service {
  private readonly incarnation: Incarnation;
  private readonly state: StateClient;
  private readonly mirror: Mirror;
  private readonly cloud: CloudClient;
  private readonly peers: PeerLink;
  private readonly membership: Membership;
  private readonly registry: JobRegistry;
  private readonly carrier: Carrier;
  private readonly bound: BoundFacts;
  private readonly settingsStore: SettingsStore;
  private readonly desk: UserDesk;
  private readonly leader: Leader;
  private readonly directory: ShardDirectory;
  private readonly ownership: ShardOwnership;
  private readonly steward: Steward;
  private readonly conductor: Conductor;
  private readonly switches: Switches;
  private readonly routes: ShardRoutes;
  private readonly quotas: QuotaShares;
  private readonly quotaRounds: ReconcileLoop;
  private readonly ownShard: ShardName;
  private readonly types: TypeBook;
  private readonly forms: Forms;
  private readonly reachability: WorkerReachability;
  private readonly health = new Health();
  private readonly sockets: SocketBudget;
  private readonly rounds: ReconcileLoop;
  private readonly leaderRounds: ReconcileLoop;
  private readonly loops: ReconcileLoop[] = [];
  private server: Listener | undefined;
  private readonly trail: Trail | null;

  constructor(
    private readonly settings: Settings,
    private readonly log: Logger,
    private readonly runtime: Runtime,
    options: ServiceOptions = {},
  ) {
    this.trail = options.trailEvents === undefined ? null : new Trail(options.trailEvents, runtime);
    this.incarnation = incarnation(runtime.uniqueId());
    this.reachability = new WorkerReachability(runtime.now());
    this.sockets = new SocketBudget(outgoing(settings.maxConnections));
    this.ownShard = shardName(settings.node);
    this.state = new StateClient(settings.state, settings.stateLimits, log, runtime);
    this.state.writers = settings.seeds.length + 1;
    this.mirror = new Mirror(this.state, LIVE, runtime, log);
    this.directory = new ShardDirectory(this.mirror);
    this.cloud = new CloudClient(settings.cloud, settings.cloudLimits.rps, log, runtime);
    this.types = new TypeBook({
      ...{ state: this.state, mirror: this.mirror, cloud: this.cloud, clock: runtime },
      leads: () => this.membership.leading !== null,
      learned: () => this.rounds.nudge(),
    });
    this.peers = new PeerLink(
      settings.node,
      this.incarnation,
      settings.peerOn,
      settings.seeds,
      () => ({
        ...{ stateOk: this.state.available && this.mirror.loaded, fit: this.reachability.ok },
        ...{ leaving: this.ownership.leaving, release: RELEASE, features: FEATURE_NAMES },
        limitsFallen: this.state.limits.fallen,
      }),
      runtime,
      log,
    );
    this.switches = new Switches(this.mirror, new Set(FEATURE_NAMES));
    this.ownership = new ShardOwnership({
      ...{ self: settings.node, incarnation: this.incarnation, own: this.ownShard, state: this.state },
      ...{ mirror: this.mirror, peers: this.peers, directory: this.directory, runtime, log, trail: this.trail },
      membership: () => this.membership,
      reaches: () => this.reachability.ok,
      make: (shard, version, value) => this.makeHolder(shard, version, value),
      dropped: (shard) => this.routes.forget(shard),
      form: () => this.forms.blocks,
      seal: () => this.forms.seal,
      hasForeignWork: (shard) => this.ownership.holders.get(shard)?.hasForeignWork === true,
    });
    this.membership = new Membership(
      settings.node,
      settings.seeds.map((seed) => seed.node),
      this.incarnation,
      this.state,
      this.mirror,
      this.directory,
      {
        held: () => [...this.ownership.holders.keys()],
        verify: () => this.ownership.verify(),
        mayClaim: () =>
          this.ownership.mayTake &&
          (this.reachability.ok || !this.peers.names.some((peer) => this.ownership.isFit(peer))),
        mayLead: () => this.ownership.mayTake,
        paged: () => this.forms.blocks === 'pages',
        announcement: () => ANNOUNCEMENT,
      },
      runtime,
      log,
    );
    this.quotas = createQuotas({
      ...{ teams: settings.teams, state: this.state, mirror: this.mirror, directory: this.directory },
      ...{ peers: this.peers, runtime, log, holders: this.ownership.holders },
      mode: () => this.forms.quotas,
      shards: () => this.membership.shards,
    });
    this.routes = new ShardRoutes({
      self: settings.node,
      clock: runtime,
      teams: settings.teams,
      quotas: this.quotas,
      holders: this.ownership.holders,
      own: this.ownShard,
      types: () => this.types.all,
    });
    this.registry = new JobRegistry(
      this.state,
      this.mirror,
      settings.teams,
      {
        types: () => this.types.list,
        chooseShard: (spec, waits) => this.routes.choose(spec, waits),
        pipelines: () => this.forms.pipelines,
        awaits: (id) => this.steward.awaits(id),
        running: (id) => this.routes.running(id),
        carried: (id, final, version) => this.carrier.carried(id, final, version),
        ended: (id, final) => {
          const { phase, done } = final;
          this.trail?.note({ kind: 'ended', job: id, phase, done });
          this.steward.over(id, final);
        },
      },
      runtime,
      log,
    );
    const { cancelMs, leaseMs } = settings.workers;
    this.bound = { cancelMs, leaseMs, nodeLeaseMs: LEASE_MS };
    this.carrier = new Carrier({
      ...{ self: settings.node, incarnation: this.incarnation, facts: this.bound, runtime, log },
      ...{ state: this.state, mirror: this.mirror, directory: this.directory, peers: this.peers },
      others: settings.seeds.map((seed) => seed.node),
      on: () => this.switches.on(CARRIED_CANCELLATIONS),
      renewedAt: () => this.membership.heldUntilAtLeast,
      held: () => [...this.ownership.holders].map(([shard, { claimedAt }]) => [shard, claimedAt] as const),
      ousted: (shard, version) => this.ownership.oust(shard, version),
      over: (id, final, version) => this.registry.remember(id, final, version),
    });
    this.steward = new Steward({
      ...{ registry: this.registry, mirror: this.mirror, runtime, log },
      holds: (shard) => this.ownership.holders.has(shard),
      ready: (id) => {
        for (const holder of this.ownership.holders.values()) holder.onReady(id);
      },
      objectives: settings.objectives,
      begun: (id) => {
        const { running, done } = this.routes.running(id);
        return running + done > 0;
      },
      fetchS: (spec) => this.types.fetchS(spec),
    });
    this.conductor = new Conductor({
      ...{ features: FEATURES, state: this.state, mirror: this.mirror, runtime, log },
      nodes: [settings.node, ...settings.seeds.map((seed) => seed.node)].sort(),
      leading: () => this.membership.leading,
      leftOf: (feature) => this.forms.leftOf(feature),
    });
    this.forms = new Forms({
      ...{ state: this.state, mirror: this.mirror, directory: this.directory },
      ...{ switches: this.switches, conductor: this.conductor },
    });
    this.settingsStore = new SettingsStore(this.state, this.mirror, runtime);
    this.desk = new UserDesk(
      this.registry,
      this.peers,
      () => this.mirror.loaded,
      () => this.state.available,
    );
    this.leader = new Leader({
      self: settings.node,
      state: this.state,
      mirror: this.mirror,
      cloud: this.cloud,
      runtime,
      log,
      trail: this.trail,
      listLagMs: settings.cloudLimits.listLagMs,
      shards: this.directory,
      leading: () => this.membership.leading,
      summaries: () => this.routes.current,
      coming: () => this.steward.coming(),
      types: () => this.types.all,
      tell: (node, message) => this.tell(node, message),
      nudge: () => this.leaderRounds.nudge(),
    });
    this.leaderRounds = new ReconcileLoop('leader', 1000, runtime, log, () => this.leader.round(), 700);
    this.quotaRounds = new ReconcileLoop(
      'quotas',
      QUOTA_EVERY_MS,
      runtime,
      log,
      () => this.quotas.round(),
      QUOTA_SETTLE_MS,
    );
    this.rounds = new ReconcileLoop(
      'holders',
      250,
      runtime,
      log,
      () => {
        for (const holder of this.ownership.holders.values()) holder.round();
      },
      100,
      // A report that waits for a plan is worse than a plan that waits for a report.
      REST_FACTOR,
    );
  }

  start(): void {
    const { log, runtime, settings } = this;
    this.mirror.changes.subscribe((change) => this.onChange(change));
    this.peers.received.subscribe((received) => this.onPeer(received));
    this.peers.start();
    const { incarnation: life, membership, state, mirror, settingsStore, steward, carrier, ownership, peers } = this;
    const seen = {
      node: settings.node,
      incarnation: life,
      membership,
      state,
      mirror,
      settingsStore,
      steward,
      carrier,
      ownership,
      peers,
    };
    const admin = adminRouter(
      this.settingsStore,
      { status: () => nodeStatus(seen), quotas: () => this.quotas.overview() },
      rolloutDesk({
        ...{ self: settings.node, clock: runtime, directory: this.directory, peers: this.peers },
        ...{ conductor: this.conductor, switches: this.switches, ownership: this.ownership },
        shards: () => this.membership.shards,
      }),
      this.trail &&
        trailView(this.trail, settings, this.incarnation, {
          types: () => this.types.list ?? [],
          operator: () => this.settingsStore.current,
        }),
    );
    this.trail?.note({ kind: 'up' });
    const handlers: Handlers = {
      healthy: () => this.healthy(),
      serve: (request) => this.desk.serve(request),
      report: (message) => this.onReport(message),
    };
    const app = createApp(handlers, admin, log);
    const sockets = incoming(settings.maxConnections);
    const { host, port } = settings.serveOn;
    this.server = listen(app, laneRoutes(handlers, log), { host, port }, sockets, runtime, log);
    void this.mirror.run();
    const session = new ReconcileLoop('session', this.membership.renewEveryMs, runtime, log, () =>
      this.membership.keep(),
    );
    const claims = new ReconcileLoop('claims', 200, runtime, log, () => this.claims());
    const summaries = new ReconcileLoop('summaries', SUMMARY_EVERY_MS, runtime, log, () => this.publish());
    const types = new ReconcileLoop('types', 500, runtime, log, () => this.types.learn());
    const carry = new ReconcileLoop('carry', CARRY_EVERY_MS, runtime, log, () => this.carrier.round());
    const reachability = {
      ...{ reachability: this.reachability, runtime, log, reportMs: settings.workers.reportMs },
      blocks: () => this.directory.all,
      held: () => this.ownership.holders,
      changed: () => this.peers.greet(),
    };
    const reach = new ReconcileLoop('reachability', 200, runtime, log, () => checkReachability(reachability));
    this.loops.push(session, claims, carry, reach, types, summaries, this.leaderRounds, this.quotaRounds, this.rounds);
    for (const loop of this.loops) loop.start();
    session.nudge();
    log.info({ serve: settings.serveOn, incarnation: this.incarnation }, 'wooddrift is up');
  }

  /** Ends this controller as a crash would: nothing is handed over. */
  stop(): void {
    for (const loop of this.loops) loop.stop();
    for (const holder of this.ownership.holders.values()) holder.drop();
    this.mirror.stop();
    this.peers.stop();
    this.server?.shut();
    this.state.close();
  }

  private async claims(): Promise<void> {
    if (!this.mirror.loaded) return;
    await this.membership.elect();
    await this.membership.claim();
    await this.ownership.review();
    await this.conductor.round();
  }

  private healthy(): boolean {
    const ready = this.mirror.loaded && this.membership.registered;
    const others = this.peers.names.map((node) => this.peers.statusOf(node)?.stateOk ?? null);
    const { mayTake } = this.ownership;
    return this.health.look({ ready, mayTake, stateOk: this.state.available, others }, this.runtime.now());
  }

  // ---- shards

  private onChange(change: Change): void {
    if (change.key.startsWith(JOBS)) {
      this.steward.onJob(change);
      for (const holder of this.ownership.holders.values()) holder.onJob(change);
    } else if (change.key.startsWith(SHARDS)) this.ownership.onShard(change);
    else if (change.key.startsWith(PAGES)) this.ownership.onPage(change);
    else if (change.key.startsWith(PROGRESS))
      this.ownership.holders.get(shardName(change.key.slice(PROGRESS.length)))?.onProgress(change);
    else if (change.key.startsWith(QUOTAS)) this.onQuota();
    else if (change.key === TYPES) this.types.onChange(change);
  }

  /** Shares have changed: what waits may start, and others may give. */
  private onQuota(): void {
    for (const holder of this.ownership.holders.values()) holder.soon();
    this.quotaRounds.nudge();
  }

  private makeHolder(shard: ShardName, version: Revision, value: ShardValue): ShardHolder {
    const previous = this.membership.previousOf(shard);
    const last = this.routes.last(shard)?.machines ?? [];
    const faulty = last.filter((machine) => machine.faulty).map((machine) => machine.id);
    this.rounds.nudge();
    return new ShardHolder(shard, version, value, previous, faulty, this.holderDeps());
  }

  private holderDeps(): HolderDeps {
    return {
      self: this.settings.node,
      incarnation: this.incarnation,
      settings: this.settings,
      state: this.state,
      mirror: this.mirror,
      directory: this.directory,
      registry: this.registry,
      pipelines: this.steward,
      quotas: {
        capOf: (team, shard) => this.quotas.capOf(team, shard),
        leftOf: (team) => this.quotas.leftOf(team),
        account: (team) => this.quotas.account(team),
        isReturning: () => this.quotas.returning,
        wanted: () => this.quotaRounds.nudge(),
      },
      runtime: this.runtime,
      sockets: this.sockets,
      log: this.log,
      trail: this.trail,
      types: () => this.types.all,
      operator: () => this.settingsStore.current,
      heldUntil: () => this.membership.heldUntilAtLeast,
      certain: () => this.membership.certain,
      standing: () => this.carrier.standing,
      leftoverMs: leftoverForMs(this.bound),
      grouped: () => this.switches.on(GROUPED_PROGRESS),
      nudge: () => this.rounds.nudge(),
      heard: () => this.reachability.heard(),
      roomElsewhere: (from, spec, count) => this.routes.elsewhere(from, spec, count),
    };
  }

  // ---- workers

  private onReport(message: WorkerMessage): ReportReply {
    this.reachability.heard();
    for (const holder of this.ownership.holders.values()) {
      if (holder.members.present(message.machine)) return holder.onReport(message);
    }
    const shard = this.directory.shardOf(message.machine);
    const owner = shard === null ? undefined : this.directory.all.get(shard)?.value.holder;
    if (owner !== undefined) return { status: 421, body: encodeRedirect(owner === this.settings.node ? null : owner) };
    if (this.membership.leading !== null) {
      this.leader.noteUp(message);
      return { status: 421, body: encodeRedirect(null) };
    }
    const { leader } = this.membership;
    return { status: 421, body: encodeRedirect(leader === this.settings.node ? null : leader) };
  }

  // ---- peers

  private onPeer(received: Received): void {
    const { state, peers, routes, registry, ownership, carrier, desk, quotas } = this;
    const nudgeQuotas = (): void => this.quotaRounds.nudge();
    handlePeer({ state, peers, routes, registry, ownership, carrier, desk, quotas, nudgeQuotas }, received);
  }

  private tell(node: NodeName, message: PeerMessage): void {
    if (node === this.settings.node) this.onPeer({ from: node, message });
    else this.peers.send(node, message);
  }

  private publish(): void {
    this.state.writers = Math.max(1, this.membership.aliveCount);
    for (const holder of this.ownership.holders.values()) {
      const summary = holder.summary();
      this.routes.note(summary);
      this.peers.broadcast({ kind: 'summary', summary });
    }
  }
}
