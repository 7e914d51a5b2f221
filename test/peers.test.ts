import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { incarnation, jobId, machineId, nodeName, shardName } from '../src/kernel/index.js';
import { decodeMessage, encodeMessage, FrameSplitter, MAX_FRAME, type PeerMessage } from '../src/peers/index.js';

const examples: PeerMessage[] = [
  { kind: 'hello', node: nodeName('n-0'), incarnation: incarnation('abc'), stateOk: true, fit: false },
  { kind: 'cancelled', job: jobId('j-1') },
  { kind: 'transfer', machine: machineId('m-1'), to: null },
  { kind: 'transfer', machine: machineId('m-1'), to: shardName('n-1') },
  { kind: 'ask', id: 4_000_000_000, op: 'cancel', body: '{"ä":1}' },
  { kind: 'answer', id: 7, status: 503, body: '' },
  { kind: 'standdown', shard: shardName('n-1'), version: 2 ** 40 },
  { kind: 'stooddown', shard: shardName('n-1'), version: 3 },
  {
    kind: 'summary',
    summary: {
      shard: shardName('n-1'),
      holder: nodeName('n-0'),
      machines: [
        {
          id: machineId('m-1'),
          type: 't',
          zone: 'z',
          spot: true,
          freeCpus: 1.5,
          freeGpus: 0,
          freeMemoryGb: 2.25,
          yieldCpus: 2,
          yieldMemoryGb: 0.5,
          idleMs: 12.5,
          empty: true,
          usable: false,
          lost: true,
          faulty: false,
          images: ['i-1', 'i-2'],
        },
      ],
      demand: [
        { job: jobId('j-1'), priority: 2, missing: 3, running: 1, slackS: -4.5, estimateS: 20, cpus: 2, gpus: 0 },
      ],
      running: [{ job: jobId('j-1'), running: 1, done: 2 }],
    },
  },
];

test('every frame is read as it was written, however the stream is cut', () => {
  const stream = Buffer.concat(examples.map(encodeMessage));
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 60 }), (sizes) => {
      const splitter = new FrameSplitter();
      const read: PeerMessage[] = [];
      let at = 0;
      for (let i = 0; at < stream.length; i++) {
        const size = sizes[i % sizes.length] ?? 1;
        read.push(...splitter.push(stream.subarray(at, at + size)).map(decodeMessage));
        at += size;
      }
      assert.deepEqual(read, examples);
    }),
    { seed: 5, numRuns: 100 },
  );
});

test('a frame that is cut short, too long or garbled is refused with an error and nothing else', () => {
  for (const example of examples) {
    const frame = encodeMessage(example).subarray(4);
    for (let length = 0; length < frame.length; length++) assert.throws(() => decodeMessage(frame.subarray(0, length)));
    assert.throws(() => decodeMessage(Buffer.concat([frame, Buffer.from([0])])));
  }
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      try {
        decodeMessage(Buffer.from(bytes));
      } catch (error) {
        assert.ok(error instanceof Error);
      }
    }),
    { seed: 6, numRuns: 2000 },
  );
  const long = Buffer.alloc(8);
  long.writeUInt32BE(MAX_FRAME + 1, 0);
  assert.throws(() => new FrameSplitter().push(long));
});
