/**
 * Folds log records into the shared state. Every daemon applies the same rules in log order, so a record that breaks a
 * rule is rejected by all of them.
 *
 * @module
 */
import { checkDocument, formatProblems } from "../config/resolve.ts";
import {
  CLAIM_RETENTION_MS,
  HISTORY_MAX,
  SEEN_IDS_MAX,
  SUPPORTED_LEVEL,
} from "./constants.ts";
import type {
  Fence,
  FoldedGroup,
  FoldResult,
  FoldState,
  LogRecord,
  Member,
  RecordBody,
  RejectionCause,
  StoredRecord,
} from "./types.ts";

const ACCEPTED: FoldResult = { accepted: true };

function reject(cause: RejectionCause, detail?: string): FoldResult {
  return detail === undefined
    ? { accepted: false, cause }
    : { accepted: false, cause, detail };
}

interface RecordPosition {
  offset: number;
  at: number;
  id: string;
}

type Body<T extends RecordBody["type"]> = Extract<RecordBody, { type: T }>;
type Rules = {
  [T in RecordBody["type"]]: (
    fold: FoldState,
    body: Body<T>,
    position: RecordPosition,
  ) => FoldResult;
};

function isStaleFence(fold: FoldState, fence: Fence): boolean {
  if (fence === "operator") return false;
  return fold.leases.get(fence.lease)?.grant !== fence.grant;
}

// Before the first configuration in the log, the size of a group cannot be checked.
function hasWrongSize(
  fold: FoldState,
  deployment: string,
  size: number,
): boolean {
  if (fold.config === undefined) return false;
  const base = fold.config.document.base as {
    deployments?: Record<string, { vmsPerReplica?: number }>;
  };
  return base.deployments?.[deployment]?.vmsPerReplica !== size;
}

function assignVm(
  fold: FoldState,
  { vm, address }: Member,
  { name, deployment, epoch }: FoldedGroup,
): void {
  fold.vms.set(vm, {
    vm,
    address,
    group: name,
    deployment,
    epoch,
    quarantined: false,
  });
}

function quarantine(fold: FoldState, vm: string, epoch: number): void {
  const assignment = fold.vms.get(vm);
  if (assignment === undefined) return;
  assignment.quarantined = true;
  assignment.epoch = epoch;
}

function changeGroup(
  fold: FoldState,
  body: { group: string; fence: Fence },
  apply: (group: FoldedGroup) => FoldResult,
): FoldResult {
  if (isStaleFence(fold, body.fence)) return reject("fenced");
  const group = fold.groups.get(body.group);
  return group === undefined ? reject("unknown_group") : apply(group);
}

const RULES: Rules = {
  level(fold, { raiseTo }) {
    fold.level = Math.max(fold.level, raiseTo);
    return ACCEPTED;
  },

  config(fold, { basedOn, document, author }, { offset, at }) {
    const current = fold.config?.offset ?? 0;
    if (basedOn !== current) {
      return reject(
        "stale_base",
        `based on ${basedOn}, in force is ${current}`,
      );
    }
    const problems = checkDocument(document);
    if (problems.length > 0) {
      return reject("invalid_config", formatProblems(problems));
    }
    fold.config = { offset, at, author, document };
    fold.history.push({ offset, at, author });
    if (fold.history.length > HISTORY_MAX) fold.history.shift();
    return ACCEPTED;
  },

  lease_grant(fold, { lease, holder, observed, durationMs }, { offset }) {
    const current = fold.leases.get(lease);
    if ((current?.renewed ?? 0) !== observed) return reject("lease_held");
    fold.leases.set(lease, {
      name: lease,
      holder,
      grant: offset,
      renewed: offset,
      durationMs,
    });
    return ACCEPTED;
  },

  lease_renew(fold, { lease, holder, grant }, { offset }) {
    const current = fold.leases.get(lease);
    if (current?.grant !== grant || current.holder !== holder) {
      return reject("not_holder");
    }
    current.renewed = offset;
    return ACCEPTED;
  },

  lease_release(fold, { lease, holder, grant }) {
    const current = fold.leases.get(lease);
    if (current?.grant !== grant || current.holder !== holder) {
      return reject("not_holder");
    }
    fold.leases.delete(lease);
    return ACCEPTED;
  },

  group_form(fold, { group, deployment, members, fence }, { offset }) {
    if (isStaleFence(fold, fence)) return reject("fenced");
    if (fold.groups.has(group)) return reject("group_exists");
    if (hasWrongSize(fold, deployment, members.length)) {
      return reject("wrong_size");
    }
    if (new Set(members.map(({ vm }) => vm)).size !== members.length) {
      return reject("duplicate_member");
    }
    const taken = members.find(({ vm }) => fold.vms.has(vm));
    if (taken !== undefined) return reject("vm_taken", taken.vm);
    const formed: FoldedGroup = {
      name: group,
      deployment,
      epoch: offset,
      phase: "formed",
      members,
    };
    for (const member of members) assignVm(fold, member, formed);
    fold.groups.set(group, formed);
    return ACCEPTED;
  },

  group_swap(fold, body, { offset }) {
    return changeGroup(fold, body, (group) => {
      const index = group.members.findIndex(({ vm }) => vm === body.remove);
      if (index < 0) return reject("unknown_group", body.remove);
      if (fold.vms.has(body.add.vm)) return reject("vm_taken", body.add.vm);
      quarantine(fold, body.remove, offset);
      group.members = group.members.with(index, body.add);
      group.epoch = offset;
      group.phase = "formed";
      for (const member of group.members) assignVm(fold, member, group);
      return ACCEPTED;
    });
  },

  group_drain(fold, body) {
    return changeGroup(fold, body, (group) => {
      group.phase = "draining";
      return ACCEPTED;
    });
  },

  group_dissolve(fold, body, { offset }) {
    return changeGroup(fold, body, (group) => {
      for (const { vm } of group.members) quarantine(fold, vm, offset);
      fold.groups.delete(group.name);
      return ACCEPTED;
    });
  },

  vm_freed(fold, { vm, epoch, fence }) {
    if (isStaleFence(fold, fence)) return reject("fenced");
    const assignment = fold.vms.get(vm);
    if (!assignment?.quarantined || assignment.epoch !== epoch) {
      return reject("vm_taken", vm);
    }
    fold.vms.delete(vm);
    return ACCEPTED;
  },

  claim(fold, { key, digest, entry }, { at, id }) {
    const existing = fold.claims.get(key);
    if (existing !== undefined && existing.verdict !== "not_run") {
      return reject("key_claimed");
    }
    fold.claims.delete(key);
    fold.claims.set(key, { key, id, at, digest, entry });
    return ACCEPTED;
  },

  claim_end(fold, { key, claim, verdict, answer }) {
    const existing = fold.claims.get(key);
    if (existing?.id !== claim) return reject("unknown_claim");
    existing.verdict = verdict;
    if (answer !== undefined) existing.answer = answer;
    return ACCEPTED;
  },

  usage(fold, { entry, sequence, counters, signature }) {
    const known = fold.usage.get(entry);
    if (known !== undefined && known.sequence >= sequence) {
      return reject("stale_usage");
    }
    fold.usage.set(entry, { entry, sequence, counters, signature });
    return ACCEPTED;
  },
};

function recordSeenId(fold: FoldState, id: string): void {
  fold.seen.add(id);
  if (fold.seen.size <= SEEN_IDS_MAX) return;
  const oldest = fold.seen.values().next().value;
  if (oldest !== undefined) fold.seen.delete(oldest);
}

// Claims are in log order, so the expired ones always come first.
function expireClaims(fold: FoldState): void {
  for (const [key, claim] of fold.claims) {
    if (fold.at - claim.at <= CLAIM_RETENTION_MS) return;
    fold.claims.delete(key);
  }
}

function applyRule(
  fold: FoldState,
  record: LogRecord,
  position: RecordPosition,
): FoldResult {
  if (typeof record?.id !== "string" || !Object.hasOwn(RULES, record.type)) {
    return reject("malformed");
  }
  if (record.level > fold.level) return reject("level_unknown");
  if (fold.seen.has(record.id)) return reject("repeated");
  const rule = RULES[record.type] as (
    fold: FoldState,
    body: RecordBody,
    position: RecordPosition,
  ) => FoldResult;
  try {
    return rule(fold, record, position);
  } catch (error) {
    return reject(
      "malformed",
      error instanceof Error ? error.message : String(error),
    );
  }
}

/**
 * Folds one record into the state and returns whether it was accepted.
 *
 * Records below `fold.next` are rejected as repeated, so records can safely be replayed from any source.
 *
 * @example
 * ```ts
 * const result = foldRecord(fold, { offset: 1, at: 0, record });
 * if (!result.accepted) console.log(result.cause);
 * ```
 */
export function foldRecord(
  fold: FoldState,
  { offset, at, record }: StoredRecord,
): FoldResult {
  if (offset < fold.next) return reject("repeated");
  const result = applyRule(fold, record, { offset, at, id: record?.id });
  fold.next = offset + 1;
  fold.at = Math.max(fold.at, at);
  if (typeof record?.id === "string") recordSeenId(fold, record.id);
  expireClaims(fold);
  return result;
}

/** Whether this version supports the record level that the log has enabled. */
export function supportsLevel(fold: FoldState): boolean {
  return fold.level <= SUPPORTED_LEVEL;
}
