/**
 * Handles what the driver read from the log: folds the records and applies the changes that follow from them.
 *
 * @module
 */
import { claimKey, wakeWaiters } from "../request/arrive.ts";
import { releaseFoldedClaim } from "../claim/claim.ts";
import { applyConfig, reconcileGroups, watchMembers } from "../config/apply.ts";
import type { EventOf } from "../event/types.ts";
import { handleLeaseDecision } from "../lease/lease.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import { updateReadiness } from "../state/readiness.ts";
import type { State } from "../state/types.ts";
import { removePendingRecord, scheduleRetry } from "./append.ts";
import { foldRecord, supportsLevel } from "./fold_record.ts";
import { restoreFold } from "./fold_state.ts";
import type { FoldResult, RecordBody, StoredRecord } from "./types.ts";

type RecordHandler = (
  state: State,
  stored: StoredRecord,
  result: FoldResult,
) => Effects;

function* handleConfig(
  state: State,
  { offset, at }: StoredRecord,
  result: FoldResult,
): Effects {
  const config = state.fold.config;
  if (result.accepted && config?.offset === offset) {
    yield* applyConfig(state, config);
  } else if (!result.accepted) {
    yield {
      kind: "log",
      event: "config_void",
      fields: { offset, at, cause: result.detail },
    };
  }
}

function* handleGroup(
  state: State,
  _stored: StoredRecord,
  result: FoldResult,
): Effects {
  if (result.accepted) yield* reconcileAllGroups(state);
}

function* reconcileAllGroups(state: State): Effects {
  for (const pool of state.pools.values()) {
    if (pool.deployment.kind === "model") {
      yield* reconcileGroups(state, { deployment: pool.name });
    }
  }
  yield* watchMembers(state);
}

function* handleLease(
  state: State,
  { record, offset }: StoredRecord,
  result: FoldResult,
): Effects {
  yield* handleLeaseDecision(state, { record, result, offset });
}

function* handleClaim(state: State, { record }: StoredRecord): Effects {
  yield* releaseFoldedClaim(state, record.id);
  const request = state.requests.get(state.pendingClaims.get(record.id) ?? "");
  state.pendingClaims.delete(record.id);
  if (request?.phase === "claiming") yield* claimKey(state, request);
}

function* handleClaimEnd(state: State, { record }: StoredRecord): Effects {
  if (record.type === "claim_end") yield* wakeWaiters(state, record.key);
}

const RECORD_HANDLERS: Readonly<Record<RecordBody["type"], RecordHandler>> = {
  level: noEffects,
  config: handleConfig,
  lease_grant: handleLease,
  lease_renew: handleLease,
  lease_release: noEffects,
  group_form: handleGroup,
  group_swap: handleGroup,
  group_drain: handleGroup,
  group_dissolve: handleGroup,
  vm_freed: noEffects,
  claim: handleClaim,
  claim_end: handleClaimEnd,
  usage: noEffects,
};

/** Causes of rejection that are expected when writers race or retry, so they are not logged. */
const EXPECTED_CAUSES: ReadonlySet<string> = new Set([
  "repeated",
  "lease_held",
  "key_claimed",
  "stale_base",
]);

function* handleRecord(state: State, stored: StoredRecord): Effects {
  if (stored.offset < state.fold.next) return;
  const { record } = stored;
  const result = foldRecord(state.fold, stored);
  const id = record?.id;
  if (typeof id === "string") removePendingRecord(state, id);
  if (!result.accepted && !EXPECTED_CAUSES.has(result.cause)) {
    const { cause, detail } = result;
    yield {
      kind: "log",
      event: "record_void",
      fields: { offset: stored.offset, cause, detail },
    };
  }
  if (
    !result.accepted &&
    (result.cause === "malformed" || result.cause === "repeated")
  ) return;
  const handler = RECORD_HANDLERS[record.type];
  if (handler !== undefined) yield* handler(state, stored, result);
}

/** Handles records read from the log. */
export function* handleLogRead(
  state: State,
  { records, head, horizon }: EventOf<"log_read">,
): Effects {
  yield* markReachable(state);
  state.log.head = Math.max(state.log.head, head);
  if (horizon > state.fold.next) {
    yield {
      kind: "log",
      event: "log_trimmed",
      fields: { next: state.fold.next, horizon },
    };
    state.caughtUp = false;
    yield* updateReadiness(state);
    yield { kind: "reload_fold" };
    return;
  }
  for (const stored of records) yield* handleRecord(state, stored);
  if (state.fold.next > head) state.caughtUp = true;
  if (!supportsLevel(state.fold)) {
    yield {
      kind: "log",
      event: "level_unsupported",
      fields: { level: state.fold.level },
    };
  }
  yield* updateReadiness(state);
}

function* markReachable(state: State): Effects {
  state.log.lastReadAt = state.now;
  if (state.log.reachable) return;
  state.log.reachable = true;
  yield {
    kind: "log",
    event: "log_reachable",
    fields: { pending: state.log.pending.size },
  };
  scheduleRetry(state);
}

/** Handles an unreachable log service; everything folded so far stays in force. */
export function* handleLogUnreachable(state: State): Effects {
  if (!state.log.reachable) return;
  state.log.reachable = false;
  yield {
    kind: "log",
    event: "log_unreachable",
    fields: { next: state.fold.next },
  };
}

/** Handles a folded state from a snapshot or a peer; one that is older than this daemon's own is ignored. */
export function* handleFoldRestored(
  state: State,
  { dump, source }: EventOf<"fold_restored">,
): Effects {
  if (dump.next <= state.fold.next && state.caughtUp) return;
  if (dump.next < state.fold.next) return;
  state.fold = restoreFold(dump);
  yield {
    kind: "log",
    event: "fold_restored",
    fields: { next: dump.next, source },
  };
  for (const id of state.log.pending.keys()) {
    if (state.fold.seen.has(id)) removePendingRecord(state, id);
  }
  if (state.fold.config !== undefined) {
    yield* applyConfig(state, state.fold.config);
  }
  yield* reconcileAllGroups(state);
  if (source === "peer") state.caughtUp = true;
  yield* resumeClaims(state);
  yield* updateReadiness(state);
}

function* resumeClaims(state: State): Effects {
  for (const [id, requestId] of state.pendingClaims) {
    if (!state.fold.seen.has(id)) continue;
    state.pendingClaims.delete(id);
    yield* releaseFoldedClaim(state, id);
    const request = state.requests.get(requestId);
    if (request?.phase === "claiming") yield* claimKey(state, request);
  }
}
