/**
 * Stand-in for the platform's lagging list of VMs.
 *
 * @module
 */
import type { VmListing } from "@primroseshed/core";
import {
  answerJson,
  createApp,
  type Listener,
  startListener,
} from "../http/listener.ts";

/** A list of VMs that tests change. */
export interface VmService extends Listener {
  vms: Map<string, VmListing>;
}

/** Starts a VM list. */
export async function startVmService(
  { port = 0 }: { port?: number } = {},
): Promise<VmService> {
  const vms = new Map<string, VmListing>();
  const app = createApp().get("/v1/vms", (_request, response) => {
    answerJson(response, 200, { body: { vms: [...vms.values()] } });
  });
  return { ...await startListener(app, { port }), vms };
}
