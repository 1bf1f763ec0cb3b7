/**
 * Estimates how long a request waits for a free slot, from the time for which requests hold their slots and the
 * occupancy of the runners.
 *
 * @module
 */
import { addSample, createAverage } from "../util/ewma.ts";
import type { WaitClass, WaitingQueue } from "./types.ts";

/** Weight of the newest request in mean times. */
const TIME_WEIGHT = 0.05;
/** Weight of the newest wait in the mean ratio of waits to their estimates. */
const RATIO_WEIGHT = 0.1;
const MIN_RATIO = 0.05;
const MAX_RATIO = 16;
/** Shortest estimate that a wait is compared with, ms: a shorter one would make any ratio large. */
const MIN_COMPARED_MS = 20;
const MS_PER_SECOND = 1_000;

/** Room at one runner, as the daemon estimates it. */
export interface RunnerRoom {
  /** Requests there, running and queued. */
  occupancy: number;
  /** Requests that it runs at once. */
  slots: number;
  /** Occupancy up to which the request may be sent there. */
  usableSlots: number;
  /** Time until which its limit or back-off rules it out, from now, ms; 0 where none does. */
  opensInMs: number;
}

/** What an estimate depends on. */
export interface WaitInputs {
  /** Runners that can serve the request. */
  rooms: readonly RunnerRoom[];
  /** Mean time for which a request holds its slot, ms. */
  holdingMs: number;
  /** Part of the slots that come free which this daemon can use, 0 to 1. */
  share: number;
  /** Requests that this daemon sends before this one. */
  ahead: number;
  /** Mean ratio of waits to their estimates so far. */
  ratio: number;
}

/** An estimate with what it came from. */
export interface ExpectedWait {
  /** Infinite where no slot can come free. */
  ms: number;
  /** The same where no other daemon takes what comes free, ms. */
  soonestMs: number;
  /** Slots that this daemon can use, 1/s. */
  freedPerSecond: number;
  ahead: number;
  holdingMs: number;
  share: number;
}

function freedPerMs({ occupancy, slots }: RunnerRoom, holdingMs: number) {
  return Math.min(occupancy, slots) / holdingMs;
}

/** Returns how many requests have to leave before a runner has a usable slot; at most 1 where the next one frees it. */
function excessOf({ occupancy, usableSlots }: RunnerRoom): number {
  return Math.max(0, occupancy - usableSlots + 1);
}

const NO_SLOT = { ms: Infinity, soonestMs: Infinity, perMs: 0 };

/** Estimates the wait for a slot at the runners that take requests now. */
function slotWaitMs(
  rooms: readonly RunnerRoom[],
  { holdingMs, share, ahead }: WaitInputs,
): { ms: number; soonestMs: number; perMs: number } {
  const least = Math.min(...rooms.map(excessOf));
  const near = rooms.filter((room) => excessOf(room) <= least + 1);
  let perMs = 0;
  let fastest = 0;
  for (const room of near) {
    const rate = freedPerMs(room, holdingMs);
    perMs += rate * share;
    fastest = Math.max(fastest, rate);
  }
  if (perMs === 0) return NO_SLOT;
  // The runners lose what is beyond their usable slots at the same time, each at its own rate.
  const drainMs = Math.max(0, least - 1) / fastest;
  const slotMs = (ahead + 1) / perMs;
  return { ms: drainMs + slotMs, soonestMs: drainMs + slotMs * share, perMs };
}

/** Estimates the wait for a runner with a free slot that takes no request for the moment. */
function openingWaitMs(rooms: readonly RunnerRoom[], ahead: number): number {
  const opening = rooms
    .filter((room) => room.opensInMs > 0 && excessOf(room) < 1)
    .map(({ opensInMs }) => opensInMs)
    .sort((left, right) => left - right);
  return opening[Math.floor(ahead)] ?? Infinity;
}

/**
 * Returns the expected wait of a request.
 *
 * @example
 * ```ts
 * // 21 slots that are held for 2.1 s each come free at 10 a second; this daemon can use half of them.
 * const room = { occupancy: 21, slots: 21, usableSlots: 21, opensInMs: 0 };
 * expectWait({ rooms: [room], holdingMs: 2_100, share: 0.5, ahead: 1, ratio: 1 }).ms; // 400
 * ```
 */
export function expectWait(inputs: WaitInputs): ExpectedWait {
  const { rooms, holdingMs, share, ahead, ratio } = inputs;
  const open = rooms.filter(({ opensInMs }) => opensInMs <= 0);
  const slot = open.length === 0 ? NO_SLOT : slotWaitMs(open, inputs);
  const openingMs = openingWaitMs(rooms, ahead);
  return {
    ms: Math.min(slot.ms * ratio, openingMs),
    soonestMs: Math.min(slot.soonestMs, openingMs),
    freedPerSecond: slot.perMs * MS_PER_SECOND,
    ahead,
    holdingMs,
    share,
  };
}

/** Records for how long a request held its slot. */
export function recordHoldingTime(queue: WaitingQueue, ms: number): void {
  queue.holdingMs ??= createAverage(ms);
  addSample(queue.holdingMs, ms, { weight: TIME_WEIGHT });
}

/** Records the time from the send of a request to its first event. */
export function recordFirstEventTime(
  { firstEventMs }: WaitingQueue,
  route: string,
  ms: number,
): void {
  const average = firstEventMs.get(route) ?? createAverage(ms);
  addSample(average, ms, { weight: TIME_WEIGHT });
  firstEventMs.set(route, average);
}

/** Records how long a wait was that had been estimated; one that ended without a slot tells only where it was longer. */
export function recordWait(
  { waitRatios }: WaitingQueue,
  { waitClass, expectedMs, waitedMs, isServed }: {
    waitClass: WaitClass;
    expectedMs: number;
    waitedMs: number;
    isServed: boolean;
  },
): void {
  const waitRatio = waitRatios[waitClass];
  const raw = expectedMs / waitRatio.value;
  if (!Number.isFinite(raw) || raw < MIN_COMPARED_MS) return;
  const ratio = Math.max(MIN_RATIO, Math.min(MAX_RATIO, waitedMs / raw));
  if (!isServed && ratio < waitRatio.value) return;
  waitRatio.value += (ratio - waitRatio.value) * RATIO_WEIGHT;
}
