import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A stand-in for the cloud: a fixed fleet, no more capacity, and what was given back. */
export class StandInCloud {
  readonly returned: string[] = [];
  private server: Server | undefined;

  constructor(private readonly machines: readonly { id: string; address: string }[]) {}

  async start(): Promise<number> {
    const server = createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => chunks.push(chunk));
      req.on('end', () => {
        const path = (req.url ?? '').split('?')[0];
        let status = 200;
        let body: unknown = {};
        if (path === '/machine_types') {
          body = {
            hulls: [
              {
                sku: 'small',
                vcpus: 4,
                accelerators: 0,
                ram_gb: 8,
                cache_gb: 10,
                fetch_gb_per_s: 1,
                rate: 1,
                low_price: 1,
                startup_s: 5,
                berths: ['z'],
              },
            ],
          };
        } else if (path === '/rentals' && req.method === 'GET') {
          const left = this.machines.filter((m) => !this.returned.includes(m.id));
          body = {
            drifters: left.map((m) => ({
              ref: m.id,
              address: m.address,
              hull: 'small',
              berth: 'z',
              flotsam: false,
              phase: 'running',
              age_s: 10,
            })),
            truncated: false,
          };
        } else if (path === '/rentals') {
          status = 503;
          body = { error: 'no capacity' };
        } else if (path === '/rentals/return') {
          const names = (JSON.parse(Buffer.concat(chunks).toString()) as { drifters: string[] }).drifters;
          this.returned.push(...names);
        }
        res.writeHead(status, { 'content-type': 'application/json' });
        res.end(JSON.stringify(body));
      });
    });
    this.server = server;
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return (server.address() as AddressInfo).port;
  }

  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }
}
