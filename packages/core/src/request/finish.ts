/**
 * Ends requests: every request gets exactly one outcome.
 *
 * @module
 */
import type { RefusalCode } from "../effect/types.ts";
import { removeWaiting } from "../admission/request_queue.ts";
import { retryAfterMs } from "../admission/shed.ts";
import { releaseClaim, scopedKey } from "../claim/claim.ts";
import type { StoredResponse } from "../fold/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import type { Verdict } from "../verdict/types.ts";
import { countUsage } from "../usage/ledger.ts";
import { advance } from "./machine.ts";
import type { Request } from "./types.ts";

/** How a request is refused. */
export interface Refusal {
  code: RefusalCode;
  message: string;
  verdict: Verdict;
  retryAfterMs?: number;
}

/** Codes of refusals that tell the caller when to retry. */
const RETRY_AFTER_CODES: ReadonlySet<RefusalCode> = new Set([
  "overloaded",
  "no_capacity",
  "log_unavailable",
  "not_ready",
]);

/** Removes a queued request from its queue. */
export function removeFromQueue(state: State, request: Request): void {
  const pool = state.pools.get(request.deployment);
  if (pool === undefined || request.phase !== "queued") return;
  const index = pool.resumptions.indexOf(request);
  if (index >= 0) pool.resumptions.splice(index, 1);
  else removeWaiting(pool.queues[request.rank], request);
}

function removeRequest(state: State, request: Request): boolean {
  removeFromQueue(state, request);
  if (!advance(request, "end")) return false;
  state.requests.delete(request.request);
  if (request.key !== undefined) {
    state.waiters.get(scopedKey(request))?.delete(request.request);
  }
  return true;
}

function* observeEnd(
  request: Request,
  { verdict, code }: { verdict: Verdict; code: string },
): Effects {
  const { rank, principal: { owner } } = request;
  yield {
    kind: "observe",
    sample: { kind: "ended", rank, owner, verdict, code },
  };
}

/** Ends a request with an error and a verdict. */
export function* refuseRequest(
  state: State,
  request: Request,
  { refusal }: { refusal: Refusal },
): Effects {
  if (!removeRequest(state, request)) return;
  const { code, verdict } = refusal;
  countUsage(state, request);
  const pool = state.pools.get(request.deployment);
  const retryAfter = refusal.retryAfterMs ??
    (pool && RETRY_AFTER_CODES.has(code)
      ? retryAfterMs(state, pool, request.rank)
      : undefined);
  yield* releaseClaim(state, request, { verdict });
  yield {
    kind: "refuse",
    request: request.request,
    code,
    message: refusal.message,
    verdict,
    ...(retryAfter !== undefined && { retryAfterMs: retryAfter }),
  };
  yield* observeEnd(request, { verdict, code });
}

/** Ends a request whose whole response has arrived. */
export function* finishRequest(
  state: State,
  request: Request,
  { response }: { response?: StoredResponse | undefined },
): Effects {
  if (!removeRequest(state, request)) return;
  request.verdict = "ran";
  countUsage(state, request);
  yield* releaseClaim(state, request, { verdict: "ran", response });
  yield { kind: "finish", request: request.request };
  yield* observeEnd(request, { verdict: "ran", code: "ok" });
}

/** Ends a request with a repeated key by replaying the stored response. */
export function* replay(
  state: State,
  request: Request,
  { response }: { response: StoredResponse },
): Effects {
  if (!removeRequest(state, request)) return;
  yield { kind: "replay", request: request.request, response };
  yield* observeEnd(request, { verdict: "ran", code: "replayed" });
}

/** Ends a request whose caller has disconnected; no response is sent. */
export function* abandonRequest(
  state: State,
  request: Request,
  { verdict }: { verdict: Verdict },
): Effects {
  if (!removeRequest(state, request)) return;
  request.verdict = verdict;
  countUsage(state, request);
  yield* releaseClaim(state, request, { verdict });
  yield* observeEnd(request, { verdict, code: "caller_gone" });
}
