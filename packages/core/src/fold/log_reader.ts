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
import { judgeReadiness } from "../state/readiness.ts";
import type { State } from "../state/types.ts";
import { forgetRecord, scheduleRetry } from "./append.ts";
import { foldRecord, supportsLevel } from "./fold_record.ts";
import { restoreFold } from "./fold_state.ts";
import type { FoldResult, RecordBody, StoredRecord } from "./types.ts";

type Follower = (
  state: State,
  stored: StoredRecord,
  result: FoldResult,
) => Effects;

function* followConfig(
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

function* followGroup(
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

function* followLease(
  state: State,
  { record, offset }: StoredRecord,
  result: FoldResult,
): Effects {
  yield* handleLeaseDecision(state, { record, result, offset });
}

function* followClaim(state: State, { record }: StoredRecord): Effects {
  yield* releaseFoldedClaim(state, record.id);
  const request = state.requests.get(state.claiming.get(record.id) ?? "");
  state.claiming.delete(record.id);
  if (request?.phase === "claiming") yield* claimKey(state, request);
}

function* followClaimEnd(state: State, { record }: StoredRecord): Effects {
  if (record.type === "claim_end") yield* wakeWaiters(state, record.key);
}

const FOLLOWERS: Readonly<Record<RecordBody["type"], Follower>> = {
  level: noEffects,
  config: followConfig,
  lease_grant: followLease,
  lease_renew: followLease,
  lease_release: noEffects,
  group_form: followGroup,
  group_swap: followGroup,
  group_drain: followGroup,
  group_dissolve: followGroup,
  vm_freed: noEffects,
  claim: followClaim,
  claim_end: followClaimEnd,
  usage: noEffects,
};

/** Causes of rejection that are expected when writers race or retry, so they are not logged. */
const ORDINARY_CAUSES: ReadonlySet<string> = new Set([
  "repeated",
  "lease_held",
  "key_claimed",
  "stale_base",
]);

function* takeRecord(state: State, stored: StoredRecord): Effects {
  if (stored.offset < state.fold.next) return;
  const { record } = stored;
  const result = foldRecord(state.fold, stored);
  const id = record?.id;
  if (typeof id === "string") forgetRecord(state, id);
  if (!result.accepted && !ORDINARY_CAUSES.has(result.cause)) {
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
  const follower = FOLLOWERS[record.type];
  if (follower !== undefined) yield* follower(state, stored, result);
}

/** Handles records read from the log. */
export function* readLog(
  state: State,
  { records, head, horizon }: EventOf<"log_read">,
): Effects {
  yield* noteReachable(state);
  state.log.head = Math.max(state.log.head, head);
  if (horizon > state.fold.next) {
    yield {
      kind: "log",
      event: "log_trimmed",
      fields: { next: state.fold.next, horizon },
    };
    state.folded = false;
    yield* judgeReadiness(state);
    yield { kind: "reload_fold" };
    return;
  }
  for (const stored of records) yield* takeRecord(state, stored);
  if (state.fold.next > head) state.folded = true;
  if (!supportsLevel(state.fold)) {
    yield {
      kind: "log",
      event: "level_unsupported",
      fields: { level: state.fold.level },
    };
  }
  yield* judgeReadiness(state);
}

function* noteReachable(state: State): Effects {
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
export function* loseLog(state: State): Effects {
  if (!state.log.reachable) return;
  state.log.reachable = false;
  yield {
    kind: "log",
    event: "log_unreachable",
    fields: { next: state.fold.next },
  };
}

/** Handles a folded state from a snapshot or a peer; one that is older than this daemon's own is ignored. */
export function* restoreFolded(
  state: State,
  { dump, source }: EventOf<"fold_restored">,
): Effects {
  if (dump.next <= state.fold.next && state.folded) return;
  if (dump.next < state.fold.next) return;
  state.fold = restoreFold(dump);
  yield {
    kind: "log",
    event: "fold_restored",
    fields: { next: dump.next, source },
  };
  for (const id of state.log.pending.keys()) {
    if (state.fold.seen.has(id)) forgetRecord(state, id);
  }
  if (state.fold.config !== undefined) {
    yield* applyConfig(state, state.fold.config);
  }
  yield* reconcileAllGroups(state);
  if (source === "peer") state.folded = true;
  yield* rejudgeClaims(state);
  yield* judgeReadiness(state);
}

function* rejudgeClaims(state: State): Effects {
  for (const [id, name] of state.claiming) {
    if (!state.fold.seen.has(id)) continue;
    state.claiming.delete(id);
    yield* releaseFoldedClaim(state, id);
    const request = state.requests.get(name);
    if (request?.phase === "claiming") yield* claimKey(state, request);
  }
}
