/**
 * Daemons of a simulated fleet: reducers in virtual time, with what the simulation knows of them.
 *
 * @module
 */
import type { EventBody } from "../event/types.ts";
import { createHarness, type GatewayHarness } from "../gateway/test_fixture.ts";
import type { ReadTimes } from "./read_times.ts";
import type { DaemonEntry, RunnerReports } from "./types.ts";

/** A simulated daemon. */
export interface SimulatedDaemon {
  entry: DaemonEntry;
  harness: GatewayHarness;
  isUp: boolean;
  /** True while the store rejects the calls of this daemon. */
  isCutFromStore: boolean;
  /** True where it neither sends nor reads load reports, as the earlier build. */
  isEarlierBuild: boolean;
  upstream: { node: string; isOpen: boolean } | undefined;
  /** Time from which on its connections deliver nothing, ms; it does not know. */
  silentSince: number;
  reads: number;
  /** Read in progress, where reads wait for a change. */
  read: SimulatedRead | undefined;
  nextPollAt: number;
}

/** A read of the store that waits for a change, or of all data. */
interface SimulatedRead {
  sentAt: number;
  /** 0 where it reads all data. */
  waitMs: number;
}

/** Event by which limits and other reports of runners arrive. */
export type LimitsEvent = Extract<EventBody, { kind: "limits_reported" }>;

/** Returns the event of a message between daemons; those of the earlier build know only a part of it. */
export function limitsEventOf(
  { limits, leaving, loads, evidence, holdings }: RunnerReports,
  daemons: readonly SimulatedDaemon[],
): LimitsEvent {
  const isIgnored = daemons.some(({ isEarlierBuild }) => isEarlierBuild);
  const kind = "limits_reported";
  return isIgnored
    ? { kind, limits, leaving }
    : { kind, limits, leaving, loads, evidence, holdings };
}

/** Creates a daemon of a zone. */
export function createDaemon(
  zone: string,
  { index, readTimes }: { index: number; readTimes: ReadTimes | undefined },
): SimulatedDaemon {
  const node = `${zone}-${index}`;
  const entry = {
    node,
    zone,
    address: "127.0.0.1:1",
    incarnation: node,
    cores: 1,
  };
  return {
    entry,
    harness: createHarness(
      { self: entry, ...readTimes && { readTimes } },
      // Daemons with the same times of reads would change their source together.
      readTimes && { seed: index + 1 },
    ),
    isUp: true,
    isCutFromStore: false,
    isEarlierBuild: false,
    upstream: undefined,
    silentSince: Infinity,
    reads: 0,
    read: undefined,
    nextPollAt: 0,
  };
}
