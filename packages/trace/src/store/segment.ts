import { parquetReadObjects } from 'hyparquet';
import { parquetWriteBuffer } from 'hyparquet-writer';
import type { TraceRow } from './trace-row.js';

/** Encodes rows as one Parquet file, with one column per field, so that a reader can load only the fields it needs. */
export function encodeSegment(rows: readonly TraceRow[]): Uint8Array {
  const column = <T>(read: (row: TraceRow) => T): T[] => rows.map(read);
  return new Uint8Array(
    parquetWriteBuffer({
      columnData: [
        { name: 'id', data: column((r) => r.id), type: 'STRING', nullable: false },
        { name: 'at', data: column((r) => r.at), type: 'DOUBLE', nullable: false },
        { name: 'node', data: column((r) => r.node), type: 'STRING', nullable: false },
        { name: 'life', data: column((r) => r.life), type: 'STRING', nullable: false },
        { name: 'n', data: column((r) => r.n), type: 'DOUBLE', nullable: false },
        { name: 'kind', data: column((r) => r.kind), type: 'STRING', nullable: false },
        { name: 'job', data: column((r) => r.job), type: 'STRING' },
        { name: 'index', data: column((r) => r.index), type: 'INT32' },
        // Contains a revision of the state service, so an INT32 is too small.
        { name: 'attempt', data: column((r) => r.attempt), type: 'DOUBLE' },
        { name: 'machine', data: column((r) => r.machine), type: 'STRING' },
        { name: 'detail', data: column((r) => r.detail), type: 'STRING', nullable: false },
      ],
    }),
  );
}

/** Decodes the rows of a segment file. */
export async function decodeSegment(bytes: Uint8Array): Promise<TraceRow[]> {
  const file = bytes.buffer.slice(bytes.byteOffset, bytes.byteOffset + bytes.byteLength) as ArrayBuffer;
  const rows = (await parquetReadObjects({ file })) as unknown as TraceRow[];
  return rows.map((row) => ({
    ...{ id: row.id, at: row.at, node: row.node, life: row.life, n: row.n, kind: row.kind, detail: row.detail },
    ...{ job: row.job ?? null, index: row.index ?? null, attempt: row.attempt ?? null, machine: row.machine ?? null },
  }));
}
