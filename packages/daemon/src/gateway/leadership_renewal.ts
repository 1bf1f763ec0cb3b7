/**
 * Renews the leadership of the group planner in the store at regular intervals and begins terms.
 *
 * @module
 */
import type { EventBody, LogEventName } from "@primroseshed/core";
import { monotonicNow } from "../driver/driver.ts";
import type { LeaderElection } from "./adapters.ts";

/** Options of {@link createLeadershipRenewal}. */
export interface LeadershipRenewalOptions {
  leaderElection: LeaderElection;
  /** Name of this incarnation of the daemon. */
  member: string;
  intervalMs: number;
  /** Returns whether this daemon may become the leader; others make no calls. */
  isCandidate(): boolean;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Periodic renewal of the leadership. */
export interface LeadershipRenewal {
  beginTerm(): void;
  /** Stops the renewal and resigns the leadership. */
  stop(): void;
}

/** Starts to renew the leadership. */
export function createLeadershipRenewal(
  { leaderElection, member, intervalMs, isCandidate, dispatch, log }:
    LeadershipRenewalOptions,
): LeadershipRenewal {
  let isFailing = false;
  let isRenewing = false;
  let hasJoined = false;

  async function renew(): Promise<void> {
    if (isRenewing) return;
    if (!isCandidate()) return await leave();
    hasJoined = true;
    isRenewing = true;
    const sentAt = monotonicNow();
    try {
      const isGranted = await leaderElection.renew(member);
      if (isFailing) log("belief_regained", { topic: "duty" });
      isFailing = false;
      dispatch({ kind: "leadership_renewed", isGranted, sentAt });
    } catch (error) {
      if (!isFailing) {
        log("belief_lost", { topic: "duty", cause: (error as Error).message });
      }
      isFailing = true;
    } finally {
      isRenewing = false;
    }
  }

  /** Leaves at once, since the store would hand on a leadership only after the member's time has passed. */
  async function leave(): Promise<void> {
    if (!hasJoined) return;
    hasJoined = false;
    try {
      await leaderElection.resign(member);
    } catch (error) {
      log("belief_lost", { topic: "duty", cause: (error as Error).message });
    }
  }

  async function requestTerm(): Promise<void> {
    try {
      const term = await leaderElection.beginTerm(member);
      dispatch({ kind: "term_begun", term });
    } catch (error) {
      log("belief_lost", { topic: "term", cause: (error as Error).message });
      dispatch({ kind: "term_begun", term: undefined });
    }
  }

  const timer = setInterval(() => void renew(), intervalMs);
  void renew();
  return {
    beginTerm: () => void requestTerm(),
    stop() {
      clearInterval(timer);
      void leave();
    },
  };
}
