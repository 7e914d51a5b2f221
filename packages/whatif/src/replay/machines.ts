import { mustStopBeforeReclaim } from '../../../../src/holder/index.js';
import type { MachineId } from '../../../../src/kernel/index.js';
import { SimMachine } from './fleet.js';
import { SimTasks } from './tasks.js';
import { DEAD_S, JOIN_S } from './timing.js';
import { kindOf } from '../night/index.js';

/** Machines: rented, up, on notice, dead, given back. */
export abstract class SimMachines extends SimTasks {
  // ---- machines

  protected begin(type: string, zone: string, spot: boolean): MachineId | null {
    const facts = this.types.get(type);
    if (!facts) return null;
    const kind = kindOf({ type, zone, spot });
    const nth = this.count(kind);
    const id = `m${String(++this.names).padStart(6, '0')}` as MachineId;
    const script = this.machineScript(kind, nth);
    this.loose.set(id, { id, type: facts, zone, spot, rentedS: this.now, script });
    this.rentedAt.set(id, this.now);
    if (script.bootS === null) this.plan(this.now + facts.bootS * 3.5 + 10, () => this.drop(id, kind));
    else this.plan(this.now + script.bootS + JOIN_S, () => this.join(id));
    return id;
  }

  /** One more of a kind; how many there were before. */
  protected count(kind: string): number {
    const nth = this.made.get(kind) ?? 0;
    this.made.set(kind, nth + 1);
    this.held.set(kind, (this.held.get(kind) ?? 0) + 1);
    return nth;
  }

  protected drop(id: MachineId, kind: string): void {
    if (this.loose.delete(id)) this.held.set(kind, (this.held.get(kind) ?? 1) - 1);
  }

  protected join(id: MachineId): void {
    const loose = this.loose.get(id);
    if (!loose) return;
    this.loose.delete(id);
    const { type, zone, spot, script } = loose;
    const own = this.luck.fork(id);
    const m = new SimMachine(id, type, zone, spot, loose.rentedS, own.between(0.67, 1.33), script.slowness);
    m.emptySinceS = this.now;
    m.failsFromS = script.failsFromS;
    this.machines.set(id, m);
    if (script.diesAtS !== null && script.diesAtS >= this.now) this.plan(script.diesAtS, () => this.die(m));
    const back = script.takenBack;
    if (back && back.noticeAtS >= this.now) {
      this.plan(back.noticeAtS, () => {
        m.noticeUntilS = this.now + back.noticeS;
        m.usable = false;
        m.changed();
        this.heedNotice(m);
      });
      this.plan(back.noticeAtS + back.noticeS, () => this.die(m));
    }
    this.soon();
  }

  /** Who must leave a machine that is taken back, and when: looked at each second. */
  protected heedNotice(m: SimMachine): void {
    if (!m.alive || m.noticeUntilS === null || this.steered) return;
    const leftS = m.noticeUntilS - this.now;
    for (const task of [...m.tasks]) {
      if (task.stopping !== null) continue;
      const job = this.jobs.get(task.job.spec.id);
      if (!job) continue;
      const restS = job.expectedRunS - (this.now - (task.beganS ?? this.now));
      if (mustStopBeforeReclaim(job.spec, task.beganS !== null, restS, leftS))
        this.stopWithMates(task, 'notice', job.spec.checkpointS > 0 ? job.spec.saveS + 1 : 0);
    }
    this.plan(this.now + 1, () => this.heedNotice(m));
  }

  /** All that is on it is lost; that is known only when its silence has lasted. */
  protected die(m: SimMachine): void {
    if (!m.alive) return;
    m.alive = false;
    m.usable = false;
    m.changed();
    for (const task of [...m.tasks]) {
      task.dead = true;
      if (task.done) task.done.cancelled = true;
      const job = this.jobs.get(task.job.spec.id);
      if (!job || task.beganS === null) continue;
      const key = job.spec.kind === 'gang' ? 0 : task.index;
      if (job.spec.checkpointS > 0) this.save(job, task, key, job.spec.checkpointS);
      // Its mates leave by themselves, and start again when all are off.
      if (job.spec.kind === 'gang' && !this.steered)
        for (const mate of job.active.values()) if (!mate.dead) this.stop(mate, 'regroup', 0);
    }
    // The record says when each of them was given up.
    if (!this.steered) this.noticeDeath(m);
  }

  protected noticeDeath(m: SimMachine): void {
    const silentS = (2 * this.scenario.facts.workers.reportMs) / 1000 + DEAD_S;
    this.plan(this.now + silentS, () => {
      for (const task of [...m.tasks]) {
        const job = this.jobs.get(task.job.spec.id);
        if (!job) continue;
        job.noteCause('machine died');
        this.leave(task, job);
      }
      this.release(m);
    });
  }

  protected release(m: SimMachine): void {
    if (!this.machines.delete(m.id)) return;
    this.charge(m);
    m.alive = false;
    const kind = kindOf({ type: m.type.name, zone: m.zone, spot: m.spot });
    this.held.set(kind, (this.held.get(kind) ?? 1) - 1);
  }
}
