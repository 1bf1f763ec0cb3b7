/**
 * Acquires, renews and releases leases through the log, timed by each observer's own monotonic clock.
 *
 * An observer that has seen no renewal for the lease time plus a margin appends a grant record that names the last
 * renewal it saw; the fold rejects the record if the holder renewed in between. The holder measures the lease time from
 * before it sent the renewal and stops a margin earlier, so no clock is ever compared with another.
 *
 * @module
 */
import {
  appendRecord,
  createRecord,
  removePendingRecord,
} from "../fold/append.ts";
import type { FoldResult, LogRecord } from "../fold/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { nextState } from "../util/machine.ts";
import { nextFloat } from "../util/random.ts";
import { leaseMachine, type LeasePhase } from "./machine.ts";
import type { Lease } from "./types.ts";

/** Duration of a lease after a renewal. */
export const LEASE_MS = 10_000;
/** Interval between renewals. */
export const LEASE_RENEW_INTERVAL_MS = 3_000;
/** The holder stops this long before the lease expires, which covers clock rates that differ by up to a tenth. */
export const LEASE_MARGIN_MS = 2_000;
/** Maximum random time that an observer waits in addition, so that observers rarely compete for the lease. */
const MAX_TAKEOVER_JITTER_MS = 2_000;

type LeaseEvent = "take" | "granted" | "lost" | "renew" | "renewed";

function advanceLease(lease: Lease, event: LeaseEvent): boolean {
  const next = nextState<LeasePhase>(leaseMachine, lease.phase, event);
  if (next === undefined) return false;
  lease.phase = next;
  return true;
}

/** Returns the lease of a name, and starts to watch it if this daemon does not yet. */
export function watchLease(state: State, name: string): Lease {
  const existing = state.leases.get(name);
  if (existing !== undefined) return existing;
  const lastRenewalOffset = state.fold.leases.get(name)?.renewed ?? 0;
  const lease: Lease = {
    name,
    phase: "watching",
    lastRenewalOffset,
    lastRenewalSeenAt: state.now,
    grant: undefined,
    confirmedSentAt: -Infinity,
    sent: new Map(),
  };
  state.leases.set(name, lease);
  return lease;
}

/**
 * Returns whether this daemon holds a lease now, by its own clock.
 *
 * Checked again when each order is sent: a daemon that was paused finds its lease expired.
 */
export function holdsLease(state: State, lease: Lease): boolean {
  if (lease.grant === undefined) return false;
  return state.now < lease.confirmedSentAt + LEASE_MS - LEASE_MARGIN_MS;
}

/** Maintains one lease: renews, releases or takes it over as needed. */
export function* maintainLease(
  state: State,
  lease: Lease,
  { wanted }: { wanted: boolean },
): Effects {
  observeRenewal(state, lease);
  if (lease.grant !== undefined) {
    return yield* maintainHeldLease(state, lease, { wanted });
  }
  if (!wanted || lease.phase !== "watching" || !state.log.reachable) return;
  const isFree = state.fold.leases.get(lease.name) === undefined;
  const takeoverDelayMs = LEASE_MS + LEASE_MARGIN_MS +
    nextFloat(state.random) * MAX_TAKEOVER_JITTER_MS;
  if (!isFree && state.now - lease.lastRenewalSeenAt < takeoverDelayMs) return;
  advanceLease(lease, "take");
  const record = createRecord(state, {
    type: "lease_grant",
    lease: lease.name,
    holder: holderName(state),
    observed: lease.lastRenewalOffset,
    durationMs: LEASE_MS,
  });
  lease.sent.set(record.id, state.now);
  yield* appendRecord(state, record);
}

function holderName(state: State): string {
  return `${state.node.name}#${state.node.incarnation}`;
}

function observeRenewal(state: State, lease: Lease): void {
  const renewed = state.fold.leases.get(lease.name)?.renewed ?? 0;
  if (renewed === lease.lastRenewalOffset) return;
  lease.lastRenewalOffset = renewed;
  lease.lastRenewalSeenAt = state.now;
}

function* maintainHeldLease(
  state: State,
  lease: Lease,
  { wanted }: { wanted: boolean },
): Effects {
  if (!holdsLease(state, lease)) {
    return yield* loseLease(lease, { cause: "time is up" });
  }
  if (lease.grant === undefined) return;
  const body = {
    lease: lease.name,
    holder: holderName(state),
    grant: lease.grant,
  };
  if (!wanted) {
    yield* appendRecord(
      state,
      createRecord(state, { type: "lease_release", ...body }),
    );
    clearGrant(lease);
    yield {
      kind: "log",
      event: "lease_released",
      fields: { lease: lease.name },
    };
    return;
  }
  const lastSentAt = Math.max(lease.confirmedSentAt, ...lease.sent.values());
  if (state.now - lastSentAt < LEASE_RENEW_INTERVAL_MS) return;
  for (const id of lease.sent.keys()) removePendingRecord(state, id);
  advanceLease(lease, "renew");
  const record = createRecord(state, { type: "lease_renew", ...body });
  lease.sent.set(record.id, state.now);
  yield* appendRecord(state, record);
}

function clearGrant(lease: Lease): void {
  lease.grant = undefined;
  lease.sent.clear();
  advanceLease(lease, "lost");
}

function* loseLease(lease: Lease, { cause }: { cause: string }): Effects {
  clearGrant(lease);
  yield {
    kind: "log",
    event: "lease_lost",
    fields: { lease: lease.name, cause },
  };
}

/** Handles the fold's decision on a grant or renewal that this daemon appended. */
export function* handleLeaseDecision(
  state: State,
  { record, result, offset }: {
    record: LogRecord;
    result: FoldResult;
    offset: number;
  },
): Effects {
  if (record.type !== "lease_grant" && record.type !== "lease_renew") return;
  const lease = state.leases.get(record.lease);
  const sentAt = lease?.sent.get(record.id);
  if (lease === undefined || sentAt === undefined) return;
  lease.sent.delete(record.id);
  if (!result.accepted && lease.grant === undefined) return clearGrant(lease);
  if (!result.accepted) return yield* loseLease(lease, { cause: result.cause });
  lease.confirmedSentAt = Math.max(lease.confirmedSentAt, sentAt);
  if (record.type === "lease_renew") return void advanceLease(lease, "renewed");
  lease.grant = offset;
  advanceLease(lease, "granted");
  yield {
    kind: "log",
    event: "lease_taken",
    fields: { lease: lease.name, fence: offset },
  };
}
