import { mustStopBeforeReclaim } from '../../../../src/holder/index.js';
import type { MachineId } from '../../../../src/kernel/index.js';
import { SimMachine } from './sim-machine.js';
import { TaskSimulation } from './task-simulation.js';
import { DEAD_S, JOIN_S } from './replay-delays.js';
import { kindKeyOf } from '../night/index.js';

/** Simulates machines: rental, boot, spot reclaim notice, death and return to the cloud. */
export abstract class MachineSimulation extends TaskSimulation {
  // ---- machines

  /** Rents a machine, which joins or fails to boot as its script says. Returns null for an unknown type. */
  protected rentMachine(type: string, zone: string, spot: boolean): MachineId | null {
    const facts = this.types.get(type);
    if (!facts) return null;
    const kind = kindKeyOf({ type, zone, spot });
    const nth = this.countMachine(kind);
    const id = `m${String(++this.namedMachines).padStart(6, '0')}` as MachineId;
    const script = this.machineScript(kind, nth);
    this.bootingMachines.set(id, { id, type: facts, zone, spot, rentedS: this.nowS, script });
    this.rentedAtS.set(id, this.nowS);
    if (script.bootS === null)
      this.scheduleAt(this.nowS + facts.bootS * 3.5 + 10, () => this.dropBootingMachine(id, kind));
    else this.scheduleAt(this.nowS + script.bootS + JOIN_S, () => this.joinMachine(id));
    return id;
  }

  /** Counts a new machine of a kind and returns how many were created before it. */
  protected countMachine(kind: string): number {
    const nth = this.createdPerKind.get(kind) ?? 0;
    this.createdPerKind.set(kind, nth + 1);
    this.heldPerKind.set(kind, (this.heldPerKind.get(kind) ?? 0) + 1);
    return nth;
  }

  /** Gives up a machine that has not come up. */
  protected dropBootingMachine(id: MachineId, kind: string): void {
    if (this.bootingMachines.delete(id)) this.heldPerKind.set(kind, (this.heldPerKind.get(kind) ?? 1) - 1);
  }

  /** Makes a booting machine available for placement and schedules its death or its reclaim. */
  protected joinMachine(id: MachineId): void {
    const booting = this.bootingMachines.get(id);
    if (!booting) return;
    this.bootingMachines.delete(id);
    const { type, zone, spot, script } = booting;
    const machineRandom = this.random.fork(id);
    const m = new SimMachine(id, type, zone, spot, booting.rentedS, machineRandom.uniform(0.67, 1.33), script.slowness);
    m.emptySinceS = this.nowS;
    m.failsFromS = script.failsFromS;
    this.machines.set(id, m);
    if (script.diesAtS !== null && script.diesAtS >= this.nowS)
      this.scheduleAt(script.diesAtS, () => this.machineDies(m));
    const reclaim = script.takenBack;
    if (reclaim && reclaim.noticeAtS >= this.nowS) {
      this.scheduleAt(reclaim.noticeAtS, () => {
        m.noticeUntilS = this.nowS + reclaim.noticeS;
        m.usable = false;
        m.invalidateCaches();
        this.stopTasksOnNotice(m);
      });
      this.scheduleAt(reclaim.noticeAtS + reclaim.noticeS, () => this.machineDies(m));
    }
    this.schedulePlacementRound();
  }

  /** Stops the tasks that must leave a machine on reclaim notice. Runs once a second until the machine is gone. */
  protected stopTasksOnNotice(m: SimMachine): void {
    if (!m.alive || m.noticeUntilS === null || this.followingRecord) return;
    const leftS = m.noticeUntilS - this.nowS;
    for (const task of [...m.tasks]) {
      if (task.stopping !== null) continue;
      const job = this.jobs.get(task.job.spec.id);
      if (!job) continue;
      const remainingS = job.expectedRunS - (this.nowS - (task.beganS ?? this.nowS));
      if (mustStopBeforeReclaim(job.spec, task.beganS !== null, remainingS, leftS))
        this.stopTaskOrGang(task, 'notice', job.spec.checkpointS > 0 ? job.spec.saveS + 1 : 0);
    }
    this.scheduleAt(this.nowS + 1, () => this.stopTasksOnNotice(m));
  }

  /**
   * All tasks on the machine are lost. The controllers detect it only after the machine has been silent for a while.
   */
  protected machineDies(m: SimMachine): void {
    if (!m.alive) return;
    m.alive = false;
    m.usable = false;
    m.invalidateCaches();
    for (const task of [...m.tasks]) {
      task.machineDied = true;
      if (task.completion) task.completion.cancelled = true;
      const job = this.jobs.get(task.job.spec.id);
      if (!job || task.beganS === null) continue;
      const key = job.spec.kind === 'gang' ? 0 : task.index;
      if (job.spec.checkpointS > 0) this.saveWork(job, task, key, job.spec.checkpointS);
      // The other tasks of the gang stop by themselves, and the gang restarts once all have left.
      if (job.spec.kind === 'gang' && !this.followingRecord)
        for (const gangTask of job.active.values()) if (!gangTask.machineDied) this.stopTask(gangTask, 'regroup', 0);
    }
    // While the record is followed, it says when each lost task was given up.
    if (!this.followingRecord) this.detectDeath(m);
  }

  /** Removes the tasks and the machine after the detection delay: two report intervals and `DEAD_S`. */
  protected detectDeath(m: SimMachine): void {
    const detectionDelayS = (2 * this.scenario.facts.workers.reportMs) / 1000 + DEAD_S;
    this.scheduleAt(this.nowS + detectionDelayS, () => {
      for (const task of [...m.tasks]) {
        const job = this.jobs.get(task.job.spec.id);
        if (!job) continue;
        job.countCause('machine died');
        this.removeTask(task, job);
      }
      this.releaseMachine(m);
    });
  }

  /** Gives a machine back to the cloud, and charges for it. */
  protected releaseMachine(m: SimMachine): void {
    if (!this.machines.delete(m.id)) return;
    this.chargeMachine(m);
    m.alive = false;
    const kind = kindKeyOf({ type: m.type.name, zone: m.zone, spot: m.spot });
    this.heldPerKind.set(kind, (this.heldPerKind.get(kind) ?? 1) - 1);
  }
}
