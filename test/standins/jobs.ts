import { jobId } from '../../src/kernel/index.js';
import { Priority, type JobSpec } from '../../src/jobs/index.js';

/** Builds a job spec: by default a small array job with one task. */
export function spec(over: Partial<Omit<JobSpec, 'id'>> & { id: string }): JobSpec {
  return {
    jobClass: 'c',
    team: 't',
    kind: 'array',
    priority: Priority.normal,
    tasks: 1,
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    image: 'i',
    imageGb: 1,
    estimateS: 10,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...over,
    id: jobId(over.id),
  };
}
