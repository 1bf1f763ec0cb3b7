/**
 * Implements `status`, `groups`, `dump` and `drain`.
 *
 * @module
 */
import {
  callAll,
  callDaemon,
  type CallResult,
  type DaemonAccess,
  failuresOf,
  throwIfAnyFailed,
} from "../daemon_client.ts";
import { CommandError } from "../exit_codes.ts";
import { formatTable, type Output, print } from "../output.ts";

interface StatusResponse {
  node: string;
  zone: string;
  phase: string;
  ready: boolean;
  configOffset?: number;
  /** Time since the configuration was last confirmed as current, ms; sent only by gateway daemons. */
  configAgeMs?: number | null;
  /** Sent only by daemons that fold the log. */
  foldNext?: number;
  logReachable: boolean;
  requests: number;
  peers: unknown[];
  /** Not sent by daemons of an earlier version. */
  evacuatedZones?: string[];
  problems: string[];
}

interface TargetStatus {
  name: string;
  deployment: string;
  phase: string;
  epoch: number | null;
  limit: number;
  /** Number of local requests in flight; daemons that keep each attempt send the list `attempts` instead. */
  inFlight?: number;
  attempts?: unknown[];
  members: { member: { vm: string; zone: string; domain: string } }[];
}

function formatStatus(results: readonly CallResult<StatusResponse>[]): string {
  const head = [
    "node",
    "zone",
    "phase",
    "ready",
    "config",
    "age ms",
    "fold",
    "log",
    "requests",
    "peers",
  ];
  const rows = results.flatMap((result) => {
    if (!result.ok) return [];
    const {
      node,
      zone,
      phase,
      ready,
      configOffset,
      configAgeMs,
      foldNext,
      logReachable,
      requests,
      peers,
    } = result.value;
    return [[
      node,
      zone,
      phase,
      ready,
      configOffset,
      configAgeMs ?? undefined,
      foldNext,
      logReachable ? "up" : "down",
      requests,
      peers.length,
    ]];
  });
  const problems = results.flatMap((result) =>
    result.ok
      ? result.value.problems.map((problem) =>
        `${result.value.node}: ${problem}`
      )
      : []
  );
  const allProblems = [...failuresOf(results), ...problems];
  const summary = allProblems.length === 0
    ? "Nothing is wrong."
    : `Problems:\n${allProblems.map((line) => `  ${line}`).join("\n")}`;
  return [formatTable(head, rows), ...formatEvacuations(results), summary]
    .join("\n\n");
}

/** Returns a line with the evacuated zones, and the daemons that know of each; none where there are none. */
function formatEvacuations(
  results: readonly CallResult<StatusResponse>[],
): string[] {
  const nodes = new Map<string, string[]>();
  for (const result of results) {
    if (!result.ok) continue;
    for (const zone of result.value.evacuatedZones ?? []) {
      nodes.set(zone, [...nodes.get(zone) ?? [], result.value.node]);
    }
  }
  if (nodes.size === 0) return [];
  const zones = [...nodes].map(([zone, names]) =>
    `  ${zone}, at ${names.join(", ")}`
  );
  return [`Evacuated zones:\n${zones.join("\n")}`];
}

/** Shows the status of each daemon and all problems. */
export async function showStatus(
  access: DaemonAccess,
  output: Output,
): Promise<void> {
  const results = await callAll<StatusResponse>(access, "/status");
  if (output.json) {
    const plain = results.map((result) =>
      result.ok
        ? { daemon: result.daemon, ...result.value }
        : { daemon: result.daemon, error: result.error.message }
    );
    output.write(JSON.stringify(plain, null, 2));
  } else {
    output.write(formatStatus(results));
  }
  throwIfAnyFailed(results);
}

/** Lists the replica groups and backend servers that each daemon knows. */
export async function showGroups(
  access: DaemonAccess,
  output: Output,
): Promise<void> {
  const results = await callAll<TargetStatus[]>(access, "/groups");
  const rows = results.flatMap((result) =>
    result.ok
      ? result.value.map((target) => ({ daemon: result.daemon, ...target }))
      : []
  );
  print(output, rows, (targets) =>
    formatTable(
      [
        "daemon",
        "group",
        "deployment",
        "phase",
        "epoch",
        "limit",
        "in flight",
        "members",
      ],
      targets.map((
        {
          daemon,
          name,
          deployment,
          phase,
          epoch,
          limit,
          inFlight,
          attempts,
          members,
        },
      ) => [
        daemon,
        name,
        deployment,
        phase,
        epoch ?? undefined,
        limit,
        inFlight ?? attempts?.length,
        members.map(({ member }) => member.vm).join(" "),
      ]),
    ));
  throwIfAnyFailed(results);
}

/** Prints the whole state of each daemon as JSON. */
export async function dumpStates(
  access: DaemonAccess,
  output: Output,
): Promise<void> {
  const results = await callAll<unknown>(access, "/state");
  const states = results.flatMap((result) =>
    result.ok ? [{ daemon: result.daemon, state: result.value }] : []
  );
  output.write(JSON.stringify(states, null, 2));
  throwIfAnyFailed(results);
}

/** Drains a daemon, or a VM at every daemon that responds. */
export async function drain(
  access: DaemonAccess,
  output: Output,
  { what, name }: { what: "node" | "vm"; name: string },
): Promise<void> {
  const results = await callAll<StatusResponse>(access, "/status");
  const responding = results.filter((result) => result.ok);
  const chosen = what === "vm"
    ? responding
    : responding.filter((result) => result.value.node === name);
  if (chosen.length === 0) {
    throwIfAnyFailed(results);
    const names = responding.map((result) => result.value.node).join(", ");
    throw new CommandError(
      "failed",
      `Cannot find a daemon named "${name}"; the daemons that responded are: ${names}`,
    );
  }
  for (const { daemon } of chosen) {
    await callDaemon(daemon, "/drain", {
      key: access.key,
      body: { what, name },
    });
  }
  const daemons = chosen.map(({ daemon }) => daemon);
  print(
    output,
    { draining: { what, name }, told: daemons },
    () => `Draining ${what} ${name}; sent to ${daemons.join(", ")}`,
  );
}
