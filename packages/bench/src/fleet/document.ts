/**
 * Configuration document of the benches: two owners with ten teams each.
 *
 * @module
 */
import type { ConfigDocument, Principal } from "@primroseshed/core";

/** Owners that share the fleet. */
export const OWNERS = ["tavua", "abay"] as const;
/** Number of teams of each owner. */
export const TEAMS = 10;

/** Returns the principal of an owner's team. */
export function principalOf(owner: string, team: number): Principal {
  return { owner, team: `team-${team}`, caller: "caller" };
}

let keyCount = 0;

function nextKeyHash(): string {
  keyCount += 1;
  return keyCount.toString(16).padStart(64, "0");
}

/** Options of {@link createDocument}. */
export interface DocumentOptions {
  groups: number;
  policy?: Record<string, unknown>;
  /** Limit of the first team of `tavua`. */
  limit?: { requestsPerMinute?: number; tokensPerMinute?: number };
}

function createOwner(limit: DocumentOptions["limit"]) {
  const team = (index: number) => ({
    callers: { caller: { keySha256: nextKeyHash() } },
    ...(index === 0 && limit && { limit }),
  });
  return {
    share: 1,
    teams: Object.fromEntries(
      Array.from(
        { length: TEAMS },
        (_, index) => [`team-${index}`, team(index)],
      ),
    ),
  };
}

/** Creates the configuration document of a bench fleet. */
export function createDocument(
  { groups, policy = {}, limit }: DocumentOptions,
): ConfigDocument {
  return {
    base: {
      version: 1,
      owners: Object.fromEntries(
        OWNERS.map((
          owner,
        ) => [owner, createOwner(owner === "tavua" ? limit : undefined)]),
      ),
      deployments: {
        assistant: {
          kind: "model",
          callers: [...OWNERS],
          replicas: groups,
          vmsPerReplica: 2,
        },
      },
      policy,
    },
    overlays: {},
  };
}
