/**
 * Polls the status of watched VMs.
 *
 * @module
 */
import type {
  EventBody,
  MemberStatus,
  State,
  WatchedMember,
} from "@primroseshed/core";
import { type Agent, request } from "undici";
import { outcomeOfError } from "./transport.ts";

/** Options of {@link createStatusPoll}. */
export interface StatusPollOptions {
  agent: Agent;
  state: State;
  everyMs: number;
  timeoutMs: number;
  dispatch(event: EventBody): void;
}

/** Periodic poll of VMs. */
export interface StatusPoll {
  /** Replaces the list of VMs to poll and polls them at once. */
  watch(members: readonly WatchedMember[]): void;
  stop(): void;
}

/** Starts to poll each VM once per interval, spread evenly over it. */
export function createStatusPoll(
  { agent, state, everyMs, timeoutMs, dispatch }: StatusPollOptions,
): StatusPoll {
  let watched: readonly WatchedMember[] = [];
  const pending = new Set<string>();

  async function poll({ vm, address }: WatchedMember): Promise<void> {
    if (pending.has(address)) return;
    pending.add(address);
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const response = await request(`${address}/status`, {
        dispatcher: agent,
        signal,
      });
      const status = await response.body.json() as MemberStatus;
      dispatch({ kind: "member_reported", address, status });
    } catch (error) {
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
