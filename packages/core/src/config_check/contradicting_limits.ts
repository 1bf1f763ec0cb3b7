/**
 * Finds limits of the fleet's configuration that contradict each other.
 *
 * @module
 */
import { servesCaller } from "../config/audience.ts";
import { listCallers } from "../config/resolve.ts";
import {
  type Config,
  type ModelDeployment,
  RANKS,
  type RateLimit,
  type ServiceDeployment,
} from "../config/types.ts";
import type { RuleFinding } from "./types.ts";

/** What is known of the fleet beside the configuration. */
export interface FleetContext {
  /** Engine VMs in each fabric domain; undefined where no daemon told. */
  domainSizes: readonly number[] | undefined;
}

function warning(
  rule: string,
  path: readonly PropertyKey[],
  message: string,
): RuleFinding {
  return { severity: "warning", rule, path, message };
}

/** Lists the limits of a configuration that contradict each other. */
export function* findContradictingLimits(
  config: Config,
  context: FleetContext,
): Generator<RuleFinding, void, void> {
  yield* checkRanks(config);
  for (const [name, deployment] of Object.entries(config.deployments)) {
    if (deployment.kind === "service") {
      yield* checkResponseTimeout(config, name, { deployment });
    } else yield* checkPlacement(name, deployment, context);
  }
  yield* checkRateLimits(config);
}

function* checkRanks({ ranks }: Config): Iterable<RuleFinding> {
  for (const rank of RANKS) {
    const { firstTokenMs, queueWaitMs, deadlineMs } = ranks[rank];
    if (deadlineMs <= firstTokenMs) {
      yield warning(
        "deadline_below_first_token",
        ["ranks", rank, "deadlineMs"],
        `${deadlineMs} ms leave no time after the first token, which may take ${firstTokenMs} ms; raise deadlineMs or lower firstTokenMs`,
      );
    }
    if (queueWaitMs > deadlineMs) {
      yield warning(
        "queue_wait_above_deadline",
        ["ranks", rank, "queueWaitMs"],
        `${queueWaitMs} ms are longer than the deadline of ${deadlineMs} ms; lower queueWaitMs or raise deadlineMs`,
      );
    }
  }
  const floors = RANKS.reduce((sum, rank) => sum + ranks[rank].floor, 0);
  if (floors < 1) return;
  yield warning(
    "floors_take_all",
    ["ranks"],
    `floors of all ranks sum to ${floors}, which leaves nothing to share by urgency; lower them to below 1`,
  );
}

function* checkResponseTimeout(
  { ranks }: Config,
  name: string,
  { deployment }: { deployment: ServiceDeployment },
): Iterable<RuleFinding> {
  const { responseTimeoutMs } = deployment;
  for (const rank of new Set(deployment.ranks)) {
    const { deadlineMs } = ranks[rank];
    if (responseTimeoutMs <= deadlineMs) continue;
    yield warning(
      "response_timeout_above_deadline",
      ["deployments", name, "responseTimeoutMs"],
      `${responseTimeoutMs} ms are longer than the deadline of rank "${rank}", ${deadlineMs} ms; lower responseTimeoutMs or raise the deadline`,
    );
  }
}

function* checkPlacement(
  name: string,
  { replicas, vmsPerReplica }: ModelDeployment,
  { domainSizes }: FleetContext,
): Iterable<RuleFinding> {
  if (domainSizes === undefined) return;
  const largest = domainSizes.reduce((left, right) => Math.max(left, right), 0);
  const placeable = domainSizes.reduce(
    (sum, size) => sum + Math.floor(size / vmsPerReplica),
    0,
  );
  const path = ["deployments", name];
  if (placeable === 0) {
    yield warning(
      "replica_too_large",
      [...path, "vmsPerReplica"],
      `${vmsPerReplica} VMs fit into no fabric domain, the largest has ${largest} engine VMs; lower vmsPerReplica`,
    );
  } else if (placeable < replicas) {
    yield warning(
      "too_many_replicas",
      [...path, "replicas"],
      `${replicas} replicas of ${vmsPerReplica} VMs do not fit, the fabric domains have room for ${placeable}; lower replicas or add VMs`,
    );
  }
}

interface LimitHolder {
  path: readonly string[];
  name: string;
  limit: RateLimit;
  /** The holders around it, the nearest first. */
  outer: readonly LimitHolder[];
}

function* listLimitHolders({ owners }: Config): Iterable<LimitHolder> {
  for (const [owner, { limit, teams }] of Object.entries(owners)) {
    const path = ["owners", owner];
    const ownerHolder = { path, name: owner, limit, outer: [] };
    yield ownerHolder;
    for (const [team, { limit, callers }] of Object.entries(teams)) {
      const path = [...ownerHolder.path, "teams", team];
      const name = `${owner}/${team}`;
      const teamHolder = { path, name, limit, outer: [ownerHolder] };
      yield teamHolder;
      for (const [caller, { limit }] of Object.entries(callers)) {
        yield {
          path: [...path, "callers", caller],
          name: `${name}/${caller}`,
          limit,
          outer: [teamHolder, ownerHolder],
        };
      }
    }
  }
}

function* checkRateLimits(config: Config): Iterable<RuleFinding> {
  for (const holder of listLimitHolders(config)) {
    yield* checkOuterLimits(holder);
    yield* checkLargestRequest(config, holder);
  }
}

const LIMIT_FIELDS = ["requestsPerMinute", "tokensPerMinute"] as const;

function* checkOuterLimits(
  { path, limit, outer }: LimitHolder,
): Iterable<RuleFinding> {
  for (const field of LIMIT_FIELDS) {
    const own = limit[field];
    const tighter = outer.find((holder) =>
      (holder.limit[field] ?? Infinity) < (own ?? 0)
    );
    if (tighter === undefined) continue;
    yield warning(
      "limit_above_outer_limit",
      [...path, "limit", field],
      `${own} is never reached, since "${tighter.name}" has the limit ${
        tighter.limit[field]
      }; lower it or raise the limit of "${tighter.name}"`,
    );
  }
}

function* checkLargestRequest(
  config: Config,
  { path, name, limit }: LimitHolder,
): Iterable<RuleFinding> {
  const { tokensPerMinute } = limit;
  if (tokensPerMinute === undefined) return;
  const callers = listCallers(config).map(({ principal }) => principal)
    .filter(({ owner, team, caller }) =>
      `${owner}/${team}/${caller}/`.startsWith(`${name}/`)
    );
  for (const [model, deployment] of Object.entries(config.deployments)) {
    if (deployment.kind !== "model") continue;
    const largest = deployment.maxPromptTokens + deployment.maxOutputTokens;
    if (tokensPerMinute >= largest) continue;
    if (!callers.some((caller) => servesCaller(deployment, caller))) continue;
    yield warning(
      "token_limit_below_request",
      [...path, "limit", "tokensPerMinute"],
      `${tokensPerMinute} are fewer than the ${largest} tokens of the largest request that deployment "${model}" accepts; raise it, or lower maxPromptTokens or maxOutputTokens`,
    );
  }
}
