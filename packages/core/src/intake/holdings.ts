/**
 * Accounts for what is held of callers' requests, and decides what is given up and when reading stops.
 *
 * A complete request is never given up. Over the budget, the largest unfinished one goes, those that make no progress
 * first. While complete ones hold most of the budget, bodies are not read, so that their callers wait in place of being
 * refused.
 *
 * @module
 */
import {
  DEFAULT_BODY_TIME_MS,
  MIN_BODY_TIME_MS,
  PAUSE_SHARE,
  RESUME_SHARE,
} from "./constants.ts";
import type {
  Holding,
  HoldKind,
  Intake,
  IntakeDecisions,
  IntakeLimits,
} from "./types.ts";

/**
 * Creates the account of a daemon that holds nothing.
 *
 * @example
 * ```ts
 * const intake = createIntake(intakeLimitsOf(bounds), { now: 0 });
 * ```
 */
export function createIntake(
  limits: IntakeLimits,
  { now }: { now: number },
): Intake {
  return {
    limits,
    holdings: new Map(),
    nextId: 1,
    heldBytes: { heads: 0, reading: 0, waiting: 0, kept: 0 },
    isPaused: false,
    smallChunks: 0,
    sweptAt: now,
  };
}

/** Adds a request whose head has arrived; {@link balance} has to follow. */
export function openHolding(
  intake: Intake,
  { headBytes, deadlineMs = DEFAULT_BODY_TIME_MS, now }: {
    headBytes: number;
    deadlineMs?: number | undefined;
    now: number;
  },
): Holding {
  const holding: Holding = {
    id: intake.nextId,
    headBytes,
    bodyBytes: 0,
    stage: "reading",
    awaitsCaller: false,
    endsAt: now + Math.max(MIN_BODY_TIME_MS, deadlineMs),
    receivedBytes: 0,
    smallChunks: 0,
    sweptBytes: 0,
    recentBytes: 0,
    windowStartedAt: now,
    windowBytes: 0,
  };
  intake.nextId += 1;
  intake.holdings.set(holding.id, holding);
  intake.heldBytes.heads += headBytes;
  return holding;
}

/** Records the bytes that a body takes in memory now; {@link balance} has to follow. */
export function setBodyBytes(
  { heldBytes }: Intake,
  holding: Holding,
  bytes: number,
): void {
  heldBytes[holding.stage] += bytes - holding.bodyBytes;
  holding.bodyBytes = bytes;
}

/** Records that a body is complete, or that its request was sent; {@link balance} has to follow. */
export function setStage(
  intake: Intake,
  holding: Holding,
  stage: Exclude<HoldKind, "heads">,
): void {
  const { heldBytes } = intake;
  heldBytes[holding.stage] -= holding.bodyBytes;
  heldBytes[stage] += holding.bodyBytes;
  holding.stage = stage;
}

/** Removes a request; {@link balance} has to follow. */
export function closeHolding(intake: Intake, holding: Holding): void {
  if (!intake.holdings.delete(holding.id)) return;
  intake.heldBytes.heads -= holding.headBytes;
  intake.heldBytes[holding.stage] -= holding.bodyBytes;
}

/** Returns the bytes that all requests hold. */
export function totalHeld({ heldBytes }: Intake): number {
  const { heads, reading, waiting, kept } = heldBytes;
  return heads + reading + waiting + kept;
}

/** Decides after each change: gives up unfinished requests beyond the budget, then stops or resumes reading. */
export function* balance(intake: Intake): IntakeDecisions {
  while (totalHeld(intake) > intake.limits.maxBytes) {
    const holding = chooseUnfinished(intake);
    if (holding === undefined) break;
    closeHolding(intake, holding);
    yield { kind: "give_up", holding: holding.id, cause: "budget" };
  }
  yield* adjustReading(intake);
}

function* adjustReading(intake: Intake): IntakeDecisions {
  const { heldBytes, limits } = intake;
  const complete = heldBytes.waiting + heldBytes.kept;
  if (!intake.isPaused && complete > limits.maxBytes * PAUSE_SHARE) {
    intake.isPaused = true;
    yield { kind: "pause" };
  } else if (intake.isPaused && complete <= limits.maxBytes * RESUME_SHARE) {
    intake.isPaused = false;
    yield { kind: "resume" };
  }
}

/** Returns the unfinished request to give up; undefined where there is none, or no other request at all. */
function chooseUnfinished({ holdings }: Intake): Holding | undefined {
  // A single request fits the budget, which has room for the largest legal one.
  if (holdings.size <= 1) return undefined;
  let chosen: Holding | undefined;
  for (const holding of holdings.values()) {
    if (holding.stage !== "reading") continue;
    if (chosen === undefined || goesBefore(holding, chosen)) chosen = holding;
  }
  return chosen;
}

function progressOf(
  { recentBytes, receivedBytes, sweptBytes }: Holding,
): number {
  return recentBytes + receivedBytes - sweptBytes;
}

function sizeOf({ headBytes, bodyBytes }: Holding): number {
  return headBytes + bodyBytes;
}

function goesBefore(left: Holding, right: Holding): boolean {
  const [leftProgress, rightProgress] = [progressOf(left), progressOf(right)];
  const isStalled = leftProgress === 0;
  if (isStalled !== (rightProgress === 0)) return isStalled;
  if (sizeOf(left) !== sizeOf(right)) return sizeOf(left) > sizeOf(right);
  return leftProgress < rightProgress;
}
