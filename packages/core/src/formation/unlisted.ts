/**
 * Remembers members of groups whose entries have left the list of runners while they may go on working.
 *
 * An entry also lapses where a runner is only cut off from the store. Its group works on, and breaking it up would cut
 * off its streams and take its capacity away for the time of a weight load; so health checks decide, as they do for
 * listed members. A head is no exception to the list: it must get no request once it is not listed.
 *
 * @module
 */
import type { Gateway, Runner } from "../gateway/types.ts";
import { UNLISTED_MEMBER_MS } from "./constants.ts";

/** Remembers a runner that has just left the list, where it was an ordinary member of a group. */
export function recordUnlisted(
  { unlistedMembers }: Gateway,
  runner: Runner,
  now: number,
): void {
  const { membership, state } = runner;
  if (membership === undefined || membership.rank === 0) return;
  if (state !== "ready") return;
  for (const [id, { since }] of unlistedMembers) {
    if (now - since <= UNLISTED_MEMBER_MS) break;
    unlistedMembers.delete(id);
  }
  unlistedMembers.delete(runner.id);
  unlistedMembers.set(runner.id, { runner, since: now });
}

/** Returns the last entry of a member that is no longer listed; undefined where it is not known or for too long. */
export function unlistedMember(
  { unlistedMembers }: Gateway,
  id: string,
  now: number,
): Runner | undefined {
  const found = unlistedMembers.get(id);
  if (found === undefined || now - found.since > UNLISTED_MEMBER_MS) {
    return undefined;
  }
  return found.runner;
}

/** Lists the last entries of all members that are no longer listed. */
export function listUnlisted(
  { unlistedMembers }: Gateway,
  now: number,
): Runner[] {
  return [...unlistedMembers.values()].flatMap(({ runner, since }) =>
    now - since <= UNLISTED_MEMBER_MS ? [runner] : []
  );
}
