/**
 * Polls the platform's list of VMs.
 *
 * @module
 */
import type { EventBody, LogEventName } from "@primroseshed/core";
import { request } from "undici";
import { createAnswerAgent, createConnect } from "../backend/answer_agent.ts";
import { decodeVmList } from "../backend/fleet_decoder.ts";
import { readLimitedJson } from "../backend/limited_body.ts";

/** Largest list of VMs, bytes. */
const MAX_LIST_BYTES = 8 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 2_000;

/** Options of {@link createVmListPoll}. */
export interface VmListPollOptions {
  address: string;
  everyMs: number;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Starts to poll the VM list and returns a function that stops it; a failed poll changes nothing. */
export function createVmListPoll(
  { address, everyMs, dispatch, log }: VmListPollOptions,
): () => void {
  const dispatcher = createAnswerAgent({
    connect: createConnect({ timeout: REQUEST_TIMEOUT_MS }),
  });
  async function poll(): Promise<void> {
    try {
      const response = await request(`${address}/v1/vms`, {
        dispatcher,
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      const vms = decodeVmList(
        await readLimitedJson<unknown>(response.body, {
          maxBytes: MAX_LIST_BYTES,
        }),
        {
          onProblem: (place, problem) =>
            log("entry_unreadable", { topic: "vms", key: place, problem }),
        },
      );
      dispatch({ kind: "vms_listed", vms });
    } catch {
      // The last list stays in use until the platform responds again.
    }
  }
  void poll();
  const timer = setInterval(() => void poll(), everyMs);
  return () => clearInterval(timer);
}
