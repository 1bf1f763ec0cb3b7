/**
 * Renews the leadership of the group planner in the store at regular intervals and begins terms.
 *
 * @module
 */
import type { EventBody, LogEventName } from "@primroseshed/core";
import { monotonicNow } from "../driver/driver.ts";
import type { DutyStore } from "./adapters.ts";

/** Options of {@link createDutyKeeper}. */
export interface DutyKeeperOptions {
  duty: DutyStore;
  /** Name of this incarnation of the daemon. */
  member: string;
  everyMs: number;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Periodic renewal of the leadership. */
export interface DutyKeeper {
  beginTerm(): void;
  /** Stops the renewal and resigns the leadership. */
  stop(): void;
}

/** Starts to renew the leadership. */
export function createDutyKeeper(
  { duty, member, everyMs, dispatch, log }: DutyKeeperOptions,
): DutyKeeper {
  let isLost = false;
  let isAsking = false;

  async function ask(): Promise<void> {
    if (isAsking) return;
    isAsking = true;
    const sentAt = monotonicNow();
    try {
      const held = await duty.renew(member);
      if (isLost) log("belief_regained", { topic: "duty" });
      isLost = false;
      dispatch({ kind: "leadership_renewed", isGranted: held, sentAt });
    } catch (error) {
      if (!isLost) {
        log("belief_lost", { topic: "duty", cause: (error as Error).message });
      }
      isLost = true;
    } finally {
      isAsking = false;
    }
  }

  async function begin(): Promise<void> {
    try {
      const term = await duty.beginTerm(member);
      dispatch({ kind: "term_begun", term });
    } catch (error) {
      log("belief_lost", { topic: "term", cause: (error as Error).message });
      dispatch({ kind: "term_begun", term: undefined });
    }
  }

  const timer = setInterval(() => void ask(), everyMs);
  void ask();
  return {
    beginTerm: () => void begin(),
    stop() {
      clearInterval(timer);
      duty.leave(member).catch((error: Error) =>
        log("belief_lost", { topic: "duty", cause: error.message })
      );
    },
  };
}
