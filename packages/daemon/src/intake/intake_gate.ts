/**
 * Carries out the decisions of the intake for the listeners of a daemon.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  balance,
  closeHolding,
  createIntake,
  type GiveUpCause,
  giveUpSmallChunks,
  headCost,
  type Holding,
  type HoldKind,
  type Intake,
  type IntakeDecisions,
  type IntakeLimits,
  type LogEventName,
  openHolding,
  receiveChunk,
  setBodyBytes,
  setStage,
  sweepIntake,
} from "@primroseshed/core";

/** Thrown while a body is read whose request is given up; nothing has run. */
export class GivenUpError extends Error {
  /** Why it is given up. */
  override readonly cause: GiveUpCause;
  /** Time after which the caller may come back, ms. */
  readonly retryAfterMs: number;

  /** Creates an error with the time that the caller is told. */
  constructor(cause: GiveUpCause, retryAfterMs: number) {
    super(MESSAGES[cause]);
    this.name = "GivenUpError";
    this.cause = cause;
    this.retryAfterMs = retryAfterMs;
  }
}

/** A request whose head has arrived. */
export interface HeldRequest {
  /** Records a chunk of the body; this or another request may be given up for it. */
  addReceived(bytes: number): void;
  /** Records the memory that the body takes; this or another request may be given up for it. */
  setBodyBytes(bytes: number): void;
  /** Records whether bytes of the caller are awaited; without them it makes no progress. */
  setAwaiting(awaitsCaller: boolean): void;
  setStage(stage: Exclude<HoldKind, "heads">): void;
  /** Calls `onGivenUp` once the request is given up, at once where it was before. */
  whenGivenUp(onGivenUp: (error: GivenUpError) => void): void;
}

/** Options of {@link IntakeGate.admit}. */
export interface AdmitOptions {
  deadlineMs?: number | undefined;
}

/** What a daemon takes in. */
export interface IntakeGate {
  /** Adds a request whose head has arrived, until its answer ends. */
  admit(
    request: IncomingMessage,
    response: ServerResponse,
    options?: AdmitOptions,
  ): HeldRequest;
  /** Applies limits that have changed. */
  setLimits(limits: IntakeLimits): void;
  intake: Intake;
  /** Returns the number of requests that were given up for a cause. */
  givenUpCount(cause: GiveUpCause): number;
  stop(): void;
}

/** Options of {@link createIntakeGate}. */
export interface IntakeGateOptions {
  limits: IntakeLimits;
  now(): number;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

interface Entry {
  request: IncomingMessage;
  holding: Holding;
  error: GivenUpError | undefined;
  onGivenUp: ((error: GivenUpError) => void) | undefined;
}

const MESSAGES: Readonly<Record<GiveUpCause, string>> = {
  budget: "This entry VM holds too many unfinished requests; try again",
  chunks: "Cannot read so many small chunks; send larger ones",
  slow: "Cannot wait longer for the body; send it faster",
};
const SWEEP_INTERVAL_MS = 500;
const MIN_RETRY_MS = 1_000;
/** Callers that are given up together are told to come back at this many different times. */
const RETRY_STEPS = 3;

function costOf({ rawHeaders, url = "" }: IncomingMessage): number {
  const textBytes = rawHeaders.reduce(
    (sum, part) => sum + part.length,
    url.length,
  );
  return headCost({ textBytes, lines: rawHeaders.length / 2 });
}

/**
 * Creates the gate; {@link IntakeGate.stop} ends its timer.
 *
 * @example
 * ```ts
 * const gate = createIntakeGate({ limits: intakeLimitsOf(bounds), now, log });
 * const held = gate.admit(request, response, { deadlineMs: 5_000 });
 * const body = await readBody(request, { maxBytes, held });
 * ```
 */
export function createIntakeGate(
  { limits, now, log }: IntakeGateOptions,
): IntakeGate {
  const intake = createIntake(limits, { now: now() });
  const entries = new Map<number, Entry>();
  const givenUp: Record<GiveUpCause, number> = {
    budget: 0,
    chunks: 0,
    slow: 0,
  };

  function carryOut(decisions: IntakeDecisions): void {
    for (const decision of decisions) {
      if (decision.kind === "give_up") giveUp(decision.holding, decision.cause);
      else setPaused(decision.kind === "pause");
    }
  }

  function giveUp(id: number, cause: GiveUpCause): void {
    const entry = entries.get(id);
    if (entry === undefined) return;
    entries.delete(id);
    givenUp[cause] += 1;
    const { holding } = entry;
    log("intake_given_up", {
      cause,
      heldBytes: holding.headBytes + holding.bodyBytes,
      receivedBytes: holding.receivedBytes,
      ...intake.heldBytes,
    });
    const retryAfterMs = MIN_RETRY_MS * (1 + id % RETRY_STEPS);
    // An answer would let the rest of what has arrived be parsed chunk by chunk.
    if (cause === "chunks") entry.request.socket.destroy();
    entry.error = new GivenUpError(cause, retryAfterMs);
    entry.onGivenUp?.(entry.error);
  }

  function setPaused(isPaused: boolean): void {
    log(isPaused ? "intake_paused" : "intake_resumed", intake.heldBytes);
    for (const { request, holding } of entries.values()) {
      if (holding.stage !== "reading" || !holding.awaitsCaller) continue;
      if (isPaused) request.pause();
      else request.resume();
    }
  }

  // Bytes that a late event loop has not read yet are progress, too.
  const timer = setInterval(
    () => setImmediate(() => carryOut(sweepIntake(intake, { now: now() }))),
    SWEEP_INTERVAL_MS,
  );
  timer.unref();

  function hold(entry: Entry): HeldRequest {
    const { request, holding } = entry;
    const isOpen = () => intake.holdings.has(holding.id);
    return {
      addReceived(bytes) {
        if (!receiveChunk(intake, holding, { bytes })) return;
        carryOut(giveUpSmallChunks(intake));
      },
      setBodyBytes(bytes) {
        if (!isOpen() || bytes === holding.bodyBytes) return;
        setBodyBytes(intake, holding, bytes);
        carryOut(balance(intake));
      },
      setAwaiting(awaitsCaller) {
        holding.awaitsCaller = awaitsCaller;
        if (awaitsCaller && intake.isPaused) request.pause();
      },
      setStage(stage) {
        if (!isOpen() || stage === holding.stage) return;
        setStage(intake, holding, stage);
        carryOut(balance(intake));
      },
      whenGivenUp(onGivenUp) {
        entry.onGivenUp = onGivenUp;
        if (entry.error !== undefined) onGivenUp(entry.error);
      },
    };
  }

  return {
    intake,
    admit(request, response, { deadlineMs } = {}) {
      const headBytes = costOf(request);
      const holding = openHolding(intake, {
        headBytes,
        deadlineMs,
        now: now(),
      });
      const entry: Entry = {
        request,
        holding,
        error: undefined,
        onGivenUp: undefined,
      };
      entries.set(holding.id, entry);
      response.once("close", () => {
        entries.delete(holding.id);
        closeHolding(intake, holding);
        carryOut(balance(intake));
      });
      carryOut(balance(intake));
      return hold(entry);
    },
    setLimits(next) {
      intake.limits = next;
      carryOut(balance(intake));
    },
    givenUpCount: (cause) => givenUp[cause],
    stop: () => clearInterval(timer),
  };
}
