/**
 * Polls the status of watched VMs.
 *
 * @module
 */
import type {
  EventBody,
  LogEventName,
  State,
  WatchedMember,
} from "@primroseshed/core";
import { type Agent, request } from "undici";
import { patientSignal } from "../driver/patient_timer.ts";
import { STATUS_UNDEFINED } from "./answer_agent.ts";
import { decodeStatus } from "./fleet_decoder.ts";
import { BODY_TOO_LONG, readLimited } from "./limited_body.ts";
import { outcomeOfError } from "./transport.ts";

/** Options of {@link createStatusPoll}. */
export interface StatusPollOptions {
  agent: Agent;
  state: State;
  everyMs: number;
  timeoutMs: number;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Periodic poll of VMs. */
export interface StatusPoll {
  /** Replaces the list of VMs to poll and polls them at once. */
  watch(members: readonly WatchedMember[]): void;
  stop(): void;
}

/** Largest status, bytes. */
const MAX_STATUS_BYTES = 64 * 1024;
const HEADERS_TOO_LONG = "UND_ERR_HEADERS_OVERFLOW";

/** Returns true where the error shows that the VM answers, with more than can be read or with no answer. */
function isAnswer(error: unknown): boolean {
  const { name, code } = error as { name?: string; code?: string };
  return name === BODY_TOO_LONG || name === STATUS_UNDEFINED ||
    code === HEADERS_TOO_LONG;
}

/** Starts to poll each VM once per interval, spread evenly over it. */
export function createStatusPoll(
  { agent, state, everyMs, timeoutMs, dispatch, log }: StatusPollOptions,
): StatusPoll {
  let watched: readonly WatchedMember[] = [];
  const pending = new Set<string>();

  /** Reports a status; one that cannot be read says only that the VM answers, and changes nothing. */
  function reportStatus(address: string, bytes: Buffer): void {
    try {
      const status = decodeStatus(JSON.parse(bytes.toString("utf8")));
      dispatch({ kind: "member_reported", address, status });
    } catch (error) {
      reportProblem(address, error as Error);
    }
  }

  function reportProblem(address: string, { message: problem }: Error): void {
    log("entry_unreadable", { topic: "status", key: address, problem });
  }

  async function poll({ vm, address }: WatchedMember): Promise<void> {
    if (pending.has(address)) return;
    pending.add(address);
    try {
      const signal = patientSignal(timeoutMs);
      const response = await request(`${address}/status`, {
        dispatcher: agent,
        signal,
      });
      const bytes = await readLimited(response.body, {
        maxBytes: MAX_STATUS_BYTES,
      });
      reportStatus(address, bytes);
    } catch (error) {
      if (isAnswer(error)) return reportProblem(address, error as Error);
      const refused =
        outcomeOfError(error, { sent: false }) === "connect_refused";
      dispatch({
        kind: "member_unreachable",
        address,
        vm,
        cause: refused ? "refused" : "timeout",
      });
    } finally {
      pending.delete(address);
    }
  }

  // Spare VMs matter only to the daemon that plans groups, which is the one that holds the lease.
  function listMembers(): WatchedMember[] {
    const members = new Map(watched.map((member) => [member.address, member]));
    const isPlanner = [...state.planners.values()].some(({ grant }) =>
      grant !== undefined
    );
    if (!isPlanner) return [...members.values()];
    for (const { vm, address, role } of state.vms.values()) {
      if (role === "engine") members.set(address, { vm, address });
    }
    return [...members.values()];
  }

  const timer = setInterval(() => {
    const members = listMembers();
    members.forEach((member, index) =>
      setTimeout(() => void poll(member), everyMs * index / members.length)
    );
  }, everyMs);
  return {
    watch(members) {
      watched = members;
      for (const member of members) void poll(member);
    },
    stop: () => clearInterval(timer),
  };
}
