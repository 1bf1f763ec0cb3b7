/**
 * Claims idempotency keys, so that a request that is not idempotent, such as a booking, runs at most once over all
 * entry VMs.
 *
 * A caller's key is claimed in the log before its request may run. The first claim in log order wins; its holder
 * records how the run ended, and all other entry VMs respond from that record.
 *
 * @module
 */
import { appendRecord, createRecord } from "../fold/append.ts";
import { STORED_RESPONSE_MAX_CHARS } from "../fold/constants.ts";
import type { FoldedClaim, RecordBody, StoredResponse } from "../fold/types.ts";
import type { Effects } from "../reduce_types.ts";
import { advance } from "../request/machine.ts";
import type { Request } from "../request/types.ts";
import type { State } from "../state/types.ts";
import type { Verdict } from "../verdict/types.ts";

/** Largest age of the last read of the log at which a claim may be started, ms. */
const MAX_LOG_READ_AGE_MS = 3_000;

/** State of a request's key in the fold, from the view of that request. */
export type ClaimStatus =
  | "free"
  | "won"
  | "mismatch"
  | "undecided"
  | "replayable"
  | "ran"
  | "unknown";

/** Scopes a caller's key to its principal and deployment, so that callers' keys cannot collide. */
export function scopedKey({ principal, deployment, key }: Request): string {
  return [principal.owner, principal.team, principal.caller, deployment, key]
    .join("/");
}

/** Whether the log is reachable and was read recently enough to decide a claim. */
export function canClaim(state: State): boolean {
  return state.log.reachable &&
    state.now - state.log.lastReadAt <= MAX_LOG_READ_AGE_MS;
}

function isHolderGone(state: State, claim: FoldedClaim): boolean {
  const [name, incarnation] = claim.entry.split("#");
  if (name === state.node.name) return incarnation !== state.node.incarnation;
  const peer = state.peers.get(name ?? "");
  return peer === undefined || peer.lostAt !== undefined ||
    peer.incarnation !== incarnation;
}

/** Returns the state of a request's key in the fold. */
export function resolveClaim(state: State, request: Request): ClaimStatus {
  const claim = state.fold.claims.get(scopedKey(request));
  if (claim === undefined || claim.verdict === "not_run") return "free";
  if (claim.id === request.claim) return "won";
  if (claim.digest !== (request.digest ?? "")) return "mismatch";
  if (claim.verdict === "ran") {
    return claim.answer === undefined ? "ran" : "replayable";
  }
  if (claim.verdict === "may_have_run" || isHolderGone(state, claim)) {
    return "unknown";
  }
  return "undecided";
}

/** Appends the claim on a request's key to the log. */
export function* startClaim(state: State, request: Request): Effects {
  const record = createRecord(state, {
    type: "claim",
    key: scopedKey(request),
    digest: request.digest ?? "",
    entry: `${state.node.name}#${state.node.incarnation}`,
  });
  request.claim = record.id;
  state.pendingClaims.set(record.id, request.request);
  advance(request, "claim");
  yield* appendRecord(state, record);
}

/** Makes a request wait for the holder of its key. */
export function waitForClaim(state: State, request: Request): void {
  request.claim = undefined;
  advance(request, "wait");
  const key = scopedKey(request);
  const waiters = state.waiters.get(key) ?? new Set<string>();
  waiters.add(request.request);
  state.waiters.set(key, waiters);
}

function storableResponse(
  response: StoredResponse | undefined,
): { answer?: StoredResponse } {
  return response !== undefined &&
      response.body.length <= STORED_RESPONSE_MAX_CHARS
    ? { answer: response }
    : {};
}

/** Appends how a claimed request ended, so that a repeated key gets the same response. */
export function* releaseClaim(
  state: State,
  request: Request,
  { verdict, response }: {
    verdict: Verdict;
    response?: StoredResponse | undefined;
  },
): Effects {
  if (request.claim === undefined) return;
  const key = scopedKey(request);
  const claim = request.claim;
  request.claim = undefined;
  const body: RecordBody = {
    type: "claim_end",
    key,
    claim,
    verdict,
    ...storableResponse(response),
  };
  if (state.log.pending.has(claim)) state.log.claimEnds.set(claim, body);
  else if (state.fold.claims.get(key)?.id === claim) {
    yield* appendRecord(state, createRecord(state, body));
  }
}

/** Appends the end of a claim whose request ended before the claim itself was folded. */
export function* releaseFoldedClaim(state: State, id: string): Effects {
  const body = state.log.claimEnds.get(id);
  if (body === undefined) return;
  state.log.claimEnds.delete(id);
  yield* appendRecord(state, createRecord(state, body));
}
