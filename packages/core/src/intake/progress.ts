/**
 * Requires of unfinished bodies that they make progress.
 *
 * @module
 */
import {
  MAX_SWEEP_GAP_MS,
  MIN_WINDOW_BYTES,
  PROGRESS_WINDOW_MS,
} from "./constants.ts";
import { closeHolding } from "./holdings.ts";
import type { Holding, Intake, IntakeDecisions } from "./types.ts";

function startWindow(holding: Holding, now: number): void {
  holding.windowStartedAt = now;
  holding.windowBytes = holding.receivedBytes;
}

function recordProgress(holding: Holding): void {
  holding.recentBytes = holding.receivedBytes - holding.sweptBytes;
  holding.sweptBytes = holding.receivedBytes;
  holding.smallChunks = 0;
}

/** Returns whether a body has taken all of its time, or too long for its next bytes; begins the next span after these. */
function isTooSlow(holding: Holding, now: number): boolean {
  if (now >= holding.endsAt) return true;
  const arrived = holding.receivedBytes - holding.windowBytes;
  if (arrived >= MIN_WINDOW_BYTES) startWindow(holding, now);
  return now - holding.windowStartedAt >= PROGRESS_WINDOW_MS;
}

/**
 * Gives up the bodies that make too little progress. Time in which this daemon does not read, or was late itself, is not
 * counted against their callers.
 */
export function* sweepIntake(
  intake: Intake,
  { now }: { now: number },
): IntakeDecisions {
  const gapMs = now - intake.sweptAt;
  const wasLate = gapMs > MAX_SWEEP_GAP_MS;
  intake.sweptAt = now;
  intake.smallChunks = 0;
  for (const holding of [...intake.holdings.values()]) {
    if (holding.stage !== "reading") continue;
    recordProgress(holding);
    if (wasLate) holding.endsAt += gapMs;
    if (wasLate || !holding.awaitsCaller) startWindow(holding, now);
    else if (intake.isPaused && now < holding.endsAt) startWindow(holding, now);
    else if (isTooSlow(holding, now)) {
      closeHolding(intake, holding);
      yield { kind: "give_up", holding: holding.id, cause: "slow" };
    }
  }
}
