/**
 * Reads the prefix-cache events of engines at regular intervals.
 *
 * @module
 */
import type { CacheChange, EventBody, State } from "@primroseshed/core";
import { type Agent, request } from "undici";
import { readLimitedJson } from "./limited_body.ts";
import { patientSignal } from "../driver/patient_timer.ts";

/** Options of {@link createCacheFeed}. */
export interface CacheFeedOptions {
  agent: Agent;
  state: State;
  everyMs: number;
  dispatch(event: EventBody): void;
}

interface CachePage {
  sequence: number;
  changes: CacheChange[];
}

/** Largest page of cache events, bytes. */
const MAX_PAGE_BYTES = 1024 * 1024;
const REQUEST_TIMEOUT_MS = 1_000;

/** Feed of cache events. */
export interface CacheFeed {
  /** Reads the complete cache of one target again. */
  resync(target: string, address: string): void;
  stop(): void;
}

/** Starts to read the cache events of the head of every serving model target. */
export function createCacheFeed(
  { agent, state, everyMs, dispatch }: CacheFeedOptions,
): CacheFeed {
  async function read(
    target: string,
    address: string,
    from: number,
  ): Promise<void> {
    try {
      const response = await request(`${address}/cache_events?from=${from}`, {
        dispatcher: agent,
        signal: patientSignal(REQUEST_TIMEOUT_MS),
      });
      if (response.statusCode !== 200) return void await response.body.dump();
      const { sequence, changes } = await readLimitedJson<CachePage>(
        response.body,
        { maxBytes: MAX_PAGE_BYTES },
      );
      dispatch({ kind: "cache_changed", target, sequence, changes });
    } catch {
      // Cache events are only hints; those that were missed are read at the next interval.
    }
  }

  function readAll(): void {
    for (
      const { name, epoch, members, cacheSequence, phase } of state.targets
        .values()
    ) {
      const head = members[0];
      if (epoch === undefined || head === undefined || phase !== "serving") {
        continue;
      }
      void read(name, head.member.address, cacheSequence + 1);
    }
  }

  const timer = setInterval(readAll, everyMs);
  return {
    resync: (target, address) => void read(target, address, 0),
    stop: () => clearInterval(timer),
  };
}
