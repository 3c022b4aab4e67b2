/**
 * Stand-in for the platform's VM list. Reads lag behind updates, as in an
 * eventually consistent list.
 */
import { hashText, type Address } from '@lycheetally/common';
import { sendJson, type VmRecord } from '@lycheetally/router';
import { z } from 'zod';
import { readJsonBody, StandInServer } from './standInServer.js';

const vmSchema = z.object({
  vmId: z.string(),
  agentAddress: z.string(),
  failureDomain: z.string(),
  state: z.enum(['live', 'leaving']),
});

const updateSchema = z.object({
  put: z.array(vmSchema).optional(),
  remove: z.array(z.string()).optional(),
  lagMs: z.number().min(0).optional(),
});

interface Snapshot {
  readonly at: number;
  readonly vms: readonly VmRecord[];
}

const maxSnapshots = 1_000;

export class VmListStandIn {
  private readonly server = new StandInServer();
  private readonly vms = new Map<string, VmRecord>();
  private snapshots: Snapshot[] = [];
  private lagMs = 0;

  constructor() {
    this.server.addRoute('GET', '/vms', (request, response) => {
      const vms = this.readLaggedList(Date.now());
      const etag = `"${String(hashText(JSON.stringify(vms)))}"`;
      response.setHeader('etag', etag);
      if (request.headers['if-none-match'] === etag) {
        response.statusCode = 304;
        response.end();
        return;
      }
      sendJson(response, 200, { vms });
    });
    this.server.addRoute('POST', '/vms', async (request, response) => {
      const update = updateSchema.parse(await readJsonBody(request));
      this.lagMs = update.lagMs ?? this.lagMs;
      update.put?.forEach(vm => this.vms.set(vm.vmId, vm));
      update.remove?.forEach(vmId => this.vms.delete(vmId));
      this.addSnapshot(Date.now());
      sendJson(response, 200, {});
    });
  }

  listen(address: Address): Promise<string> {
    return this.server.listen(address);
  }

  /** Stops accepting connections and waits for the open calls. */
  close(): Promise<void> {
    return this.server.close();
  }

  dispose(): void {
    this.server.dispose();
  }

  private addSnapshot(now: number): void {
    this.snapshots.push({ at: now, vms: [...this.vms.values()] });
    this.snapshots = this.snapshots.slice(-maxSnapshots);
  }

  private readLaggedList(now: number): readonly VmRecord[] {
    const visible = this.snapshots.findLast(
      snapshot => snapshot.at <= now - this.lagMs,
    );
    return visible?.vms ?? [];
  }
}
