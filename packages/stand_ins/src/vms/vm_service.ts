/**
 * Stand-in for the platform's lagging list of VMs.
 *
 * @module
 */
import type { VmListing } from "@primroseshed/core";
import {
  createApp,
  type Listener,
  sendJson,
  startListener,
} from "../http/listener.ts";

/** A running VM list; tests change its entries. */
export interface VmService extends Listener {
  vms: Map<string, VmListing>;
}

/** Starts a VM list without entries. */
export async function startVmService(
  { port = 0 }: { port?: number } = {},
): Promise<VmService> {
  const vms = new Map<string, VmListing>();
  const app = createApp().get("/v1/vms", (_request, response) => {
    sendJson(response, 200, { body: { vms: [...vms.values()] } });
  });
  return { ...await startListener(app, { port }), vms };
}
