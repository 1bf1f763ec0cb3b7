/**
 * Simulates the engine of a replica group: it works in passes of several decode steps, reads prompts in pieces between
 * them, and queues what exceeds its slots.
 *
 * @module
 */
import type { EngineSpeed } from "@primroseshed/core";
import type { Clock } from "../fleet/clock.ts";

/** A request at an engine. */
export interface Task {
  promptTokens: number;
  outputTokens: number;
  /** Output tokens that an earlier attempt has written. */
  writtenBefore: number;
  /** 0 is the most urgent. */
  urgency: number;
  /** Called with the number of each whole event, from 1. */
  onEvent(event: number): void;
  onEnd(): void;
  /** Called where the response is cut off. */
  onCut(): void;
  /** Called where the engine does not run the request. */
  onRejected(): void;
}

/** Requests at an engine. */
export interface EngineLoad {
  running: number;
  waiting: number;
}

/** Speed and limits of a {@link GroupEngine}. */
export interface GroupEngineProfile {
  speed: EngineSpeed;
  /** Factor of the model on all processing times. */
  pace: number;
  slots: number;
  queueLength: number;
}

/** A running engine of a replica group. */
export interface GroupEngine {
  /** Factor on all times of this group: 1 is full speed. */
  slowness: number;
  submit(task: Task): void;
  cancel(task: Task): void;
  /** Returns the current load. */
  load(): EngineLoad;
  /** Stops all progress, as when a member is lost; requests are still accepted. */
  stall(): void;
  /** Accepts no new requests, and calls `onIdle` once the running ones have ended. */
  drain(onIdle: () => void): void;
  /** Cuts off what runs and rejects what waits, now and later. */
  close(): void;
}

interface RunningTask {
  task: Task;
  unreadTokens: number;
  writtenTokens: number;
  sentEvents: number;
}

type Phase = "serving" | "stalled" | "draining" | "closed";

const TOKENS_PER_KILOTOKEN = 1_000;
const MS_PER_SECOND = 1_000;

/**
 * Creates an idle engine.
 *
 * @example
 * ```ts
 * const engine = createGroupEngine(clock, { speed, pace: 1, slots: 21, queueLength: 42 });
 * engine.submit(task);
 * clock.runUntil(5_000);
 * ```
 */
export function createGroupEngine(
  clock: Clock,
  { speed, pace, slots, queueLength }: GroupEngineProfile,
): GroupEngine {
  /** A stream event holds the tokens of one pass. */
  const eventTokens = speed.stepsPerPass;
  let waiting: Task[] = [];
  let running: RunningTask[] = [];
  let phase: Phase = "serving";
  let isWorking = false;
  let idleCallback: (() => void) | undefined;

  function admit(): void {
    waiting.sort((left, right) => left.urgency - right.urgency);
    for (const task of waiting.splice(0, slots - running.length)) {
      running.push({
        task,
        unreadTokens: task.promptTokens + task.writtenBefore,
        writtenTokens: task.writtenBefore,
        sentEvents: Math.floor(task.writtenBefore / eventTokens),
      });
    }
  }

  /** Reads prompts up to the size of one piece and returns the time that it takes, ms. */
  function readPiece(): number {
    let left = speed.prefillChunkTokens;
    for (const each of running) {
      const part = Math.min(left, each.unreadTokens);
      each.unreadTokens -= part;
      left -= part;
      if (left === 0) break;
    }
    const tokens = speed.prefillChunkTokens - left;
    return tokens * MS_PER_SECOND / speed.prefillTokensPerSecond;
  }

  function isWriting({ task, unreadTokens, writtenTokens }: RunningTask) {
    return unreadTokens === 0 && writtenTokens < task.outputTokens;
  }

  /** Runs one step and returns its time, ms. */
  function runStep(): number {
    const readMs = readPiece();
    const writers = running.filter(isWriting);
    if (writers.length === 0) return readMs;
    let contextTokens = 0;
    for (const each of writers) {
      contextTokens += each.task.promptTokens + each.writtenTokens;
      each.writtenTokens += 1;
    }
    return readMs + speed.stepMs + writers.length * speed.stepMsPerRequest +
      speed.stepMsPerContextKiloToken * contextTokens / TOKENS_PER_KILOTOKEN;
  }

  function runPass(): void {
    if (phase !== "draining") admit();
    if (running.length === 0 || phase === "stalled" || phase === "closed") {
      isWorking = false;
      if (phase === "draining") idleCallback?.();
      return;
    }
    isWorking = true;
    const steps = running.some(isWriting) ? speed.stepsPerPass : 1;
    let ms = 0;
    for (let step = 0; step < steps; step += 1) ms += runStep();
    clock.after(ms * pace * engine.slowness, () => {
      if (phase === "stalled" || phase === "closed") return;
      deliver();
      runPass();
    });
  }

  function deliver(): void {
    for (const each of [...running]) {
      const { task, writtenTokens } = each;
      const isOver = writtenTokens >= task.outputTokens;
      const whole = isOver
        ? Math.ceil(writtenTokens / eventTokens)
        : Math.floor(writtenTokens / eventTokens);
      while (each.sentEvents < whole) {
        each.sentEvents += 1;
        task.onEvent(each.sentEvents);
      }
      if (!isOver) continue;
      running = running.filter((other) => other !== each);
      task.onEnd();
    }
  }

  const engine: GroupEngine = {
    slowness: 1,
    submit(task) {
      const isFull = running.length + waiting.length >= slots + queueLength;
      const isOpen = phase === "serving" || phase === "stalled";
      if (!isOpen || isFull) return task.onRejected();
      waiting.push(task);
      if (!isWorking && phase === "serving") runPass();
    },
    cancel(task) {
      waiting = waiting.filter((each) => each !== task);
      running = running.filter((each) => each.task !== task);
    },
    load: () => ({ running: running.length, waiting: waiting.length }),
    stall() {
      if (phase !== "closed") phase = "stalled";
    },
    drain(onIdle) {
      if (phase === "closed") return onIdle();
      phase = "draining";
      idleCallback = onIdle;
      for (const task of waiting.splice(0)) task.onRejected();
      if (!isWorking) onIdle();
    },
    close() {
      phase = "closed";
      for (const { task } of running.splice(0)) task.onCut();
      for (const task of waiting.splice(0)) task.onRejected();
    },
  };
  return engine;
}
