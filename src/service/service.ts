import { adminRouter, SettingsStore } from '../admin/index.js';
import { CancellationPropagator, leftoverAnswerMs, type HolderTimings } from '../cancellation/index.js';
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
import { DependencyTracker } from '../pipelines/index.js';
import { NODE_LEASE_MS, Membership, ShardDirectory, type ShardValue } from '../membership/index.js';
import type { QuotaShares } from '../quota/index.js';
import { PeerTransport, type PeerMessage, type ReceivedMessage } from '../peers/index.js';
import {
  ACKNOWLEDGED_CANCELLATIONS,
  RolloutReconciler,
  FEATURES,
  GROUPED_PROGRESS,
  RELEASE_NUMBER,
  FeatureGates,
} from '../rollout/index.js';
import {
  JOBS_PREFIX,
  LIVE_PREFIX,
  Mirror,
  PAGES_PREFIX,
  PROGRESS_PREFIX,
  QUOTAS_PREFIX,
  SHARDS_PREFIX,
  StateClient,
  MACHINE_TYPES_KEY,
  type Change,
} from '../state/index.js';
import { encodeRedirect, WorkerReachability, type WorkerMessage } from '../workers/index.js';
import { ANNOUNCEMENT, FEATURE_NAMES } from './announcement.js';
import { createApp, fastPathRoutes, listen, type RequestHandlers, type Listener } from './http.js';
import { Trail } from '../trail/index.js';
import { StorageFormats } from './storage-formats.js';
import { HealthCheck } from './health-check.js';
import { checkReachability } from './reachability.js';
import { handlePeerMessage } from './peer-messages.js';
import { createQuotaShares } from './quota-shares.js';
import { ShardRouter } from './shard-router.js';
import { MachineTypeCache } from './machine-types.js';
import { rolloutOperations } from './rollout-overview.js';
import { nodeStatus } from './status.js';
import { ShardOwnership } from './shard-ownership.js';
import { trailView } from './trail-view.js';
import { UserRequestHandler } from './user-requests.js';

/** Interval at which the holders send summaries of their shards to the peers. */
const SUMMARY_INTERVAL_MS = 800;
/** Interval of the rounds that divide team limits. */
const QUOTA_INTERVAL_MS = 400;
/** Shortest interval between requested quota rounds: a round iterates over all tasks of the held shards. */
const QUOTA_THROTTLE_MS = 250;
/** Interval of the rounds that resend cancellations and send heartbeats. */
const CANCELLATION_INTERVAL_MS = 500;
/** After a holder round, the event loop is left to other work for this many times the length of the round. */
const HOLDER_REST_FACTOR = 20;
/** Sockets that are reserved for the state service, the cloud, the peers and the listeners. */
const RESERVED_SOCKETS = 40;

/** How many of the allowed connections are for incoming ones, from users and workers. */
const incomingConnectionLimit = (maxConnections: number): number => Math.max(50, Math.floor(maxConnections * 0.7));
/** How many of the allowed connections are for commands to workers. */
const commandSocketLimit = (maxConnections: number): number =>
  Math.max(20, maxConnections - incomingConnectionLimit(maxConnections) - RESERVED_SOCKETS);

/** Options of a controller that are not part of its settings. */
export interface ServiceOptions {
  /** How many of the latest events are kept for trace recorders; without it, none are kept. */
  readonly trailEvents?: number;
}

/** One controller node: creates its parts, connects them and runs their reconcile loops. */
export class Service {
  private readonly incarnation: Incarnation;
  private readonly state: StateClient;
  private readonly mirror: Mirror;
  private readonly cloud: CloudClient;
  private readonly peers: PeerTransport;
  private readonly membership: Membership;
  private readonly registry: JobRegistry;
  private readonly cancellationPropagator: CancellationPropagator;
  private readonly holderTimings: HolderTimings;
  private readonly settingsStore: SettingsStore;
  private readonly userRequests: UserRequestHandler;
  private readonly leader: Leader;
  private readonly directory: ShardDirectory;
  private readonly ownership: ShardOwnership;
  private readonly dependencyTracker: DependencyTracker;
  private readonly rollout: RolloutReconciler;
  private readonly featureGates: FeatureGates;
  private readonly router: ShardRouter;
  private readonly quotas: QuotaShares;
  private readonly quotaLoop: ReconcileLoop;
  private readonly ownShard: ShardName;
  private readonly machineTypes: MachineTypeCache;
  private readonly storageFormats: StorageFormats;
  private readonly reachability: WorkerReachability;
  private readonly healthCheck = new HealthCheck();
  private readonly sockets: SocketBudget;
  private readonly holderLoop: ReconcileLoop;
  private readonly leaderLoop: ReconcileLoop;
  private readonly loops: ReconcileLoop[] = [];
  private listener: Listener | undefined;
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
    this.sockets = new SocketBudget(commandSocketLimit(settings.maxConnections));
    this.ownShard = shardName(settings.node);
    this.state = new StateClient(settings.state, settings.stateLimits, log, runtime);
    this.state.writers = settings.seeds.length + 1;
    this.mirror = new Mirror(this.state, LIVE_PREFIX, runtime, log);
    this.directory = new ShardDirectory(this.mirror);
    this.cloud = new CloudClient(settings.cloud, settings.cloudLimits.rps, log, runtime);
    this.machineTypes = new MachineTypeCache({
      ...{ state: this.state, mirror: this.mirror, cloud: this.cloud, clock: runtime },
      isLeading: () => this.membership.leaderTerm !== null,
      onTypesChanged: () => this.holderLoop.trigger(),
    });
    this.peers = new PeerTransport(
      settings.node,
      this.incarnation,
      settings.peerOn,
      settings.seeds,
      () => ({
        ...{ stateOk: this.state.available && this.mirror.loaded, fit: this.reachability.ok },
        ...{ leaving: this.ownership.leaving, release: RELEASE_NUMBER, features: FEATURE_NAMES },
        limitsFallen: this.state.limits.lowerLimitsInForce,
      }),
      runtime,
      log,
    );
    this.featureGates = new FeatureGates(this.mirror, new Set(FEATURE_NAMES));
    this.ownership = new ShardOwnership({
      ...{ self: settings.node, incarnation: this.incarnation, ownShard: this.ownShard, state: this.state },
      ...{ mirror: this.mirror, peers: this.peers, directory: this.directory, runtime, log, trail: this.trail },
      membership: () => this.membership,
      reachesWorkers: () => this.reachability.ok,
      createHolder: (shard, version, value) => this.createHolder(shard, version, value),
      onShardDropped: (shard) => this.router.forgetSummary(shard),
      blockFormat: () => this.storageFormats.blockFormat,
      sealRecords: () => this.storageFormats.sealRecords,
      hasForeignWork: (shard) => this.ownership.holders.get(shard)?.hasWorkAccountedElsewhere === true,
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
        verifyOwnership: () => this.ownership.verifyOwnership(),
        mayClaim: () =>
          this.ownership.mayClaimShards &&
          (this.reachability.ok || !this.peers.peerNames.some((peer) => this.ownership.isEligibleHolder(peer))),
        mayLead: () => this.ownership.mayClaimShards,
        usesPages: () => this.storageFormats.blockFormat === 'pages',
        announcement: () => ANNOUNCEMENT,
      },
      runtime,
      log,
    );
    this.quotas = createQuotaShares({
      ...{ teams: settings.teams, state: this.state, mirror: this.mirror, directory: this.directory },
      ...{ peers: this.peers, runtime, log, holders: this.ownership.holders },
      mode: () => this.storageFormats.quotaMode,
      shards: () => this.membership.shards,
    });
    this.router = new ShardRouter({
      self: settings.node,
      clock: runtime,
      teams: settings.teams,
      quotas: this.quotas,
      holders: this.ownership.holders,
      ownShard: this.ownShard,
      types: () => this.machineTypes.all,
    });
    this.registry = new JobRegistry(
      this.state,
      this.mirror,
      settings.teams,
      {
        machineTypes: () => this.machineTypes.list,
        chooseShard: (spec, waits) => this.router.chooseShardFor(spec, waits),
        supportsDependencies: () => this.storageFormats.pipelines,
        unfinishedDependencies: (id) => this.dependencyTracker.awaits(id),
        progressOf: (id) => this.router.progressOf(id),
        awaitAcknowledgement: (id, final, version) =>
          this.cancellationPropagator.awaitAcknowledgement(id, final, version),
        onJobEnded: (id, final) => {
          const { phase, done } = final;
          this.trail?.record({ kind: 'ended', job: id, phase, done });
          this.dependencyTracker.onJobFinal(id, final);
        },
      },
      runtime,
      log,
    );
    const { cancelMs, leaseMs } = settings.workers;
    this.holderTimings = { cancelMs, leaseMs, nodeLeaseMs: NODE_LEASE_MS };
    this.cancellationPropagator = new CancellationPropagator({
      ...{ self: settings.node, incarnation: this.incarnation, facts: this.holderTimings, runtime, log },
      ...{ state: this.state, mirror: this.mirror, directory: this.directory, peers: this.peers },
      others: settings.seeds.map((seed) => seed.node),
      enabled: () => this.featureGates.isOn(ACKNOWLEDGED_CANCELLATIONS),
      ownershipProvenAt: () => this.membership.ownershipProvenAt,
      held: () => [...this.ownership.holders].map(([shard, { claimedAt }]) => [shard, claimedAt] as const),
      onShardLost: (shard, version) => this.ownership.supersede(shard, version),
      onJobEnded: (id, final, version) => this.registry.recordFinal(id, final, version),
    });
    this.dependencyTracker = new DependencyTracker({
      ...{ registry: this.registry, mirror: this.mirror, runtime, log },
      holds: (shard) => this.ownership.holders.has(shard),
      ready: (id) => {
        for (const holder of this.ownership.holders.values()) holder.onDependenciesDone(id);
      },
      objectives: settings.objectives,
      hasStarted: (id) => {
        const { running, done } = this.router.progressOf(id);
        return running + done > 0;
      },
      fetchS: (spec) => this.machineTypes.imageFetchS(spec),
    });
    this.rollout = new RolloutReconciler({
      ...{ features: FEATURES, state: this.state, mirror: this.mirror, runtime, log },
      nodes: [settings.node, ...settings.seeds.map((seed) => seed.node)].sort(),
      leaderTerm: () => this.membership.leaderTerm,
      recordsToRevert: (feature) => this.storageFormats.remainingRecords(feature),
    });
    this.storageFormats = new StorageFormats({
      ...{ state: this.state, mirror: this.mirror, directory: this.directory },
      ...{ featureGates: this.featureGates, rollout: this.rollout },
    });
    this.settingsStore = new SettingsStore(this.state, this.mirror, runtime);
    this.userRequests = new UserRequestHandler(
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
      leaderTerm: () => this.membership.leaderTerm,
      summaries: () => this.router.currentSummaries,
      upcomingJobs: () => this.dependencyTracker.upcomingJobs(),
      types: () => this.machineTypes.all,
      sendToPeer: (node, message) => this.sendToPeer(node, message),
      requestRound: () => this.leaderLoop.trigger(),
    });
    this.leaderLoop = new ReconcileLoop('leader', 1000, runtime, log, () => this.leader.round(), 700);
    this.quotaLoop = new ReconcileLoop(
      'quotas',
      QUOTA_INTERVAL_MS,
      runtime,
      log,
      () => this.quotas.reconcile(),
      QUOTA_THROTTLE_MS,
    );
    this.holderLoop = new ReconcileLoop(
      'holders',
      250,
      runtime,
      log,
      () => {
        for (const holder of this.ownership.holders.values()) holder.reconcile();
      },
      100,
      // Rounds pause in favour of reports: delaying a report by a plan is worse than delaying a plan by a report.
      HOLDER_REST_FACTOR,
    );
  }

  /** Starts the listeners, the watch and the reconcile loops. */
  start(): void {
    const { log, runtime, settings } = this;
    this.mirror.changes.subscribe((change) => this.onChange(change));
    this.peers.received.subscribe((received) => this.onPeer(received));
    this.peers.start();
    const {
      incarnation: ownIncarnation,
      membership,
      state,
      mirror,
      settingsStore,
      dependencyTracker,
      cancellationPropagator,
      ownership,
      peers,
    } = this;
    const statusDeps = {
      node: settings.node,
      incarnation: ownIncarnation,
      membership,
      state,
      mirror,
      settingsStore,
      dependencyTracker,
      cancellationPropagator,
      ownership,
      peers,
      userRequests: this.userRequests,
    };
    const admin = adminRouter(
      this.settingsStore,
      { status: () => nodeStatus(statusDeps), quotas: () => this.quotas.overview() },
      rolloutOperations({
        ...{ self: settings.node, clock: runtime, directory: this.directory, peers: this.peers },
        ...{ rollout: this.rollout, featureGates: this.featureGates, ownership: this.ownership },
        shards: () => this.membership.shards,
      }),
      this.trail &&
        trailView(this.trail, settings, this.incarnation, {
          types: () => this.machineTypes.list ?? [],
          operatorSettings: () => this.settingsStore.current,
        }),
    );
    this.trail?.record({ kind: 'up' });
    const handlers: RequestHandlers = {
      isHealthy: () => this.isHealthy(),
      serve: (request) => this.userRequests.serve(request),
      report: (message) => this.onReport(message),
    };
    const app = createApp(handlers, admin, log);
    const incomingLimit = incomingConnectionLimit(settings.maxConnections);
    const { host, port } = settings.serveOn;
    this.listener = listen(app, fastPathRoutes(handlers, log), { host, port }, incomingLimit, runtime, log);
    void this.mirror.run();
    const leaseLoop = new ReconcileLoop('lease', this.membership.renewEveryMs, runtime, log, () =>
      this.membership.maintainLease(),
    );
    const claimLoop = new ReconcileLoop('claims', 200, runtime, log, () => this.reconcileClaims());
    const summaryLoop = new ReconcileLoop('summaries', SUMMARY_INTERVAL_MS, runtime, log, () =>
      this.publishSummaries(),
    );
    const typesLoop = new ReconcileLoop('types', 500, runtime, log, () => this.machineTypes.refresh());
    const cancellationLoop = new ReconcileLoop('cancellations', CANCELLATION_INTERVAL_MS, runtime, log, () =>
      this.cancellationPropagator.round(),
    );
    const reachabilityDeps = {
      ...{ reachability: this.reachability, runtime, log, reportMs: settings.workers.reportMs },
      blocks: () => this.directory.all,
      held: () => this.ownership.holders,
      onVerdictChanged: () => this.peers.broadcastHello(),
    };
    const reachabilityLoop = new ReconcileLoop('reachability', 200, runtime, log, () =>
      checkReachability(reachabilityDeps),
    );
    this.loops.push(
      leaseLoop,
      claimLoop,
      cancellationLoop,
      reachabilityLoop,
      typesLoop,
      summaryLoop,
      this.leaderLoop,
      this.quotaLoop,
      this.holderLoop,
    );
    for (const loop of this.loops) loop.start();
    leaseLoop.trigger();
    log.info({ serve: settings.serveOn, incarnation: this.incarnation }, 'wooddrift is up');
  }

  /** Stops this controller as abruptly as a crash: nothing is handed over. */
  stop(): void {
    for (const loop of this.loops) loop.stop();
    for (const holder of this.ownership.holders.values()) holder.drop();
    this.mirror.stop();
    this.peers.stop();
    this.listener?.close();
    this.state.close();
  }

  /** One round of leader election, shard claims, ownership and rollout. */
  private async reconcileClaims(): Promise<void> {
    if (!this.mirror.loaded) return;
    await this.membership.elect();
    await this.membership.claimVacantShards();
    await this.ownership.reconcile();
    await this.rollout.reconcile();
  }

  /** Whether the load balancer should send users to this node. */
  private isHealthy(): boolean {
    const ready = this.mirror.loaded && this.membership.registered;
    const othersStateOk = this.peers.peerNames.map((node) => this.peers.statusOf(node)?.stateOk ?? null);
    const { mayClaimShards } = this.ownership;
    return this.healthCheck.check(
      { ready, mayClaimShards, stateOk: this.state.available, othersStateOk },
      this.runtime.now(),
    );
  }

  // ---- shards

  /** Dispatches a change in the state service by its key. */
  private onChange(change: Change): void {
    if (change.key.startsWith(JOBS_PREFIX)) {
      this.dependencyTracker.onJobChange(change);
      for (const holder of this.ownership.holders.values()) holder.onJob(change);
    } else if (change.key.startsWith(SHARDS_PREFIX)) this.ownership.onShard(change);
    else if (change.key.startsWith(PAGES_PREFIX)) this.ownership.onPage(change);
    else if (change.key.startsWith(PROGRESS_PREFIX))
      this.ownership.holders.get(shardName(change.key.slice(PROGRESS_PREFIX.length)))?.onProgress(change);
    else if (change.key.startsWith(QUOTAS_PREFIX)) this.onQuotaChange();
    else if (change.key === MACHINE_TYPES_KEY) this.machineTypes.onChange(change);
  }

  /** Handles a change of quota shares: waiting tasks may be able to start, and shards may be able to give up shares. */
  private onQuotaChange(): void {
    for (const holder of this.ownership.holders.values()) holder.requestReplan();
    this.quotaLoop.trigger();
  }

  /** Creates the holder of a shard that this node has claimed, with the faulty machines of the last summary. */
  private createHolder(shard: ShardName, version: Revision, value: ShardValue): ShardHolder {
    const previous = this.membership.previousHoldersOf(shard);
    const lastMachines = this.router.lastSummary(shard)?.machines ?? [];
    const faulty = lastMachines.filter((machine) => machine.faulty).map((machine) => machine.id);
    this.holderLoop.trigger();
    return new ShardHolder(shard, version, value, previous, faulty, this.holderDeps());
  }

  /** What shard holders need from the rest of the node. */
  private holderDeps(): HolderDeps {
    return {
      self: this.settings.node,
      incarnation: this.incarnation,
      settings: this.settings,
      state: this.state,
      mirror: this.mirror,
      directory: this.directory,
      registry: this.registry,
      pipelines: this.dependencyTracker,
      quotas: {
        capOf: (team, shard) => this.quotas.capOf(team, shard),
        remainingOf: (team) => this.quotas.leftOf(team),
        accountShardOf: (team) => this.quotas.accountShardOf(team),
        isReturning: () => this.quotas.returning,
        reportWaitingWork: () => this.quotaLoop.trigger(),
      },
      runtime: this.runtime,
      sockets: this.sockets,
      log: this.log,
      trail: this.trail,
      types: () => this.machineTypes.all,
      operatorSettings: () => this.settingsStore.current,
      ownershipProvenAt: () => this.membership.ownershipProvenAt,
      leaseValid: () => this.membership.leaseValid,
      holderMode: () => this.cancellationPropagator.holderMode,
      leftoverMs: leftoverAnswerMs(this.holderTimings),
      groupsProgress: () => this.featureGates.isOn(GROUPED_PROGRESS),
      requestRound: () => this.holderLoop.trigger(),
      recordWorkerContact: () => this.reachability.recordWorkerContact(),
      progressOf: (id) => this.router.progressOf(id),
      findShardWithCapacity: (...wanted) => this.router.findOtherShard(...wanted),
    };
  }

  // ---- workers

  /**
   * Handles a worker's report if its machine is in a held block; otherwise redirects the worker to the holder of its
   * machine or, for a machine in no block, to the leader.
   */
  private onReport(message: WorkerMessage): ReportReply {
    this.reachability.recordWorkerContact();
    for (const holder of this.ownership.holders.values()) {
      if (holder.members.findPresent(message.machine)) return holder.onReport(message);
    }
    const shard = this.directory.shardOf(message.machine);
    const holderNode = shard === null ? undefined : this.directory.all.get(shard)?.value.holder;
    if (holderNode !== undefined)
      return { status: 421, body: encodeRedirect(holderNode === this.settings.node ? null : holderNode) };
    if (this.membership.leaderTerm !== null) {
      this.leader.recordUnassignedWorker(message);
      return { status: 421, body: encodeRedirect(null) };
    }
    const { leader } = this.membership;
    return { status: 421, body: encodeRedirect(leader === this.settings.node ? null : leader) };
  }

  // ---- peers

  /** Dispatches a message of a peer. */
  private onPeer(received: ReceivedMessage): void {
    const { state, peers, router, registry, ownership, cancellationPropagator, userRequests, quotas } = this;
    const requestQuotaRound = (): void => this.quotaLoop.trigger();
    handlePeerMessage(
      { state, peers, router, registry, ownership, cancellationPropagator, userRequests, quotas, requestQuotaRound },
      received,
    );
  }

  /** Sends a message to a node; a message to this node is handled locally. */
  private sendToPeer(node: NodeName, message: PeerMessage): void {
    if (node === this.settings.node) this.onPeer({ from: node, incarnation: this.incarnation, message });
    else this.peers.send(node, message);
  }

  /** Sends the summaries of the held shards to all peers. */
  private publishSummaries(): void {
    this.state.writers = Math.max(1, this.membership.liveControllerCount);
    for (const holder of this.ownership.holders.values()) {
      const summary = holder.summary();
      this.router.recordSummary(summary);
      this.peers.broadcast({ kind: 'summary', summary });
    }
  }
}
