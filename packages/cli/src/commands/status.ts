/**
 * Implements `status`, `groups`, `dump` and `drain`.
 *
 * @module
 */
import {
  type Access,
  type Answer,
  callAll,
  callDaemon,
  failuresOf,
  throwIfUnreachable,
} from "../daemon_client.ts";
import { CommandError } from "../exit_codes.ts";
import { formatTable, type Output, print } from "../output.ts";

interface StatusAnswer {
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
  problems: string[];
}

interface TargetAnswer {
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

function formatStatus(answers: readonly Answer<StatusAnswer>[]): string {
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
  const rows = answers.flatMap((answer) => {
    if (!answer.ok) return [];
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
    } = answer.value;
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
  const problems = answers.flatMap((answer) =>
    answer.ok
      ? answer.value.problems.map((problem) =>
        `${answer.value.node}: ${problem}`
      )
      : []
  );
  const wrong = [...failuresOf(answers), ...problems];
  const summary = wrong.length === 0
    ? "Nothing is wrong."
    : `Problems:\n${wrong.map((line) => `  ${line}`).join("\n")}`;
  return `${formatTable(head, rows)}\n\n${summary}`;
}

/** Shows the status of each daemon and all problems. */
export async function showStatus(
  access: Access,
  output: Output,
): Promise<void> {
  const answers = await callAll<StatusAnswer>(access, "/status");
  if (output.json) {
    const plain = answers.map((answer) =>
      answer.ok
        ? { daemon: answer.daemon, ...answer.value }
        : { daemon: answer.daemon, error: answer.error.message }
    );
    output.write(JSON.stringify(plain, null, 2));
  } else {
    output.write(formatStatus(answers));
  }
  throwIfUnreachable(answers);
}

/** Lists the replica groups and backend servers that each daemon knows. */
export async function showGroups(
  access: Access,
  output: Output,
): Promise<void> {
  const answers = await callAll<TargetAnswer[]>(access, "/groups");
  const rows = answers.flatMap((answer) =>
    answer.ok
      ? answer.value.map((target) => ({ daemon: answer.daemon, ...target }))
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
  throwIfUnreachable(answers);
}

/** Prints the whole state of each daemon as JSON. */
export async function dumpStates(
  access: Access,
  output: Output,
): Promise<void> {
  const answers = await callAll<unknown>(access, "/state");
  const states = answers.flatMap((answer) =>
    answer.ok ? [{ daemon: answer.daemon, state: answer.value }] : []
  );
  output.write(JSON.stringify(states, null, 2));
  throwIfUnreachable(answers);
}

/** Drains a daemon, or a VM at every daemon that responds. */
export async function drain(
  access: Access,
  output: Output,
  { what, name }: { what: "node" | "vm"; name: string },
): Promise<void> {
  const statuses = await callAll<StatusAnswer>(access, "/status");
  const reached = statuses.filter((answer) => answer.ok);
  const chosen = what === "vm"
    ? reached
    : reached.filter((answer) => answer.value.node === name);
  if (chosen.length === 0) {
    throwIfUnreachable(statuses);
    const known = reached.map((answer) => answer.value.node).join(", ");
    throw new CommandError(
      "failed",
      `Cannot find a daemon named "${name}"; the daemons that responded are: ${known}`,
    );
  }
  for (const { daemon } of chosen) {
    await callDaemon(daemon, "/drain", {
      key: access.key,
      body: { what, name },
    });
  }
  const told = chosen.map(({ daemon }) => daemon);
  print(
    output,
    { draining: { what, name }, told },
    () => `Draining ${what} ${name}; sent to ${told.join(", ")}`,
  );
}
