/**
 * Bounds what a daemon holds for its callers by the memory and the descriptors of its VM.
 *
 * @module
 */
import type { Server } from "node:http";
import {
  type CallerLimits as AllCallerLimits,
  intakeLimitsOf,
  type LogEventName,
} from "@primroseshed/core";
import type { Registry } from "prom-client";
import { monotonicNow } from "../driver/driver.ts";
import { type ConnectionLimit, limitConnections } from "./connection_limit.ts";
import { createIntakeGate, type IntakeGate } from "./intake_gate.ts";
import { addIntakeMetrics } from "./intake_metrics.ts";
import {
  type BufferBudget,
  createBufferBudget,
} from "../gateway/buffer_budget.ts";

/** Limits on callers that the intake goes by. */
type CallerLimits = Pick<AllCallerLimits, "maxBodyBytes" | "headerTimeoutMs">;

/** Intake of a daemon. */
export interface DaemonIntake {
  gate: IntakeGate;
  /** Bytes that all responses may hold. */
  buffers: BufferBudget;
  /** Connections that other daemons may open. */
  maxDaemons: number;
  setLimits(limits: CallerLimits): void;
  /** Limits the connections of the callers' listener and of the internal ones, and adds the metrics. */
  attach(
    callers: Server,
    options: { registry: Registry; internal: readonly Server[] },
  ): void;
  stop(): void;
}

/** Options of {@link createDaemonIntake}. */
export interface DaemonIntakeOptions {
  /** Limits of the VM. */
  node: { memoryMb: number; maxDescriptors: number };
  limits: CallerLimits;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Creates the intake. */
export function createDaemonIntake(
  { node, limits: initialLimits, log }: DaemonIntakeOptions,
): DaemonIntake {
  let limits = initialLimits;
  let connections: ConnectionLimit | undefined;
  const limitsOf = ({ maxBodyBytes }: CallerLimits) =>
    intakeLimitsOf({ ...node, maxBodyBytes });
  const { maxResponseBytes, maxCallers, maxDaemons, maxOperators } = limitsOf(
    limits,
  );
  const gate = createIntakeGate({
    limits: limitsOf(limits),
    now: monotonicNow,
    log,
  });
  const buffers = createBufferBudget({ maxBytes: maxResponseBytes });
  return {
    gate,
    buffers,
    maxDaemons,
    setLimits(next) {
      limits = next;
      gate.setLimits(limitsOf(next));
    },
    attach(callers, { registry, internal }) {
      connections = limitConnections(callers, {
        maxCount: maxCallers,
        headTimeoutMs: () => limits.headerTimeoutMs,
        now: monotonicNow,
        log,
      });
      for (const server of internal) server.maxConnections = maxOperators;
      addIntakeMetrics(registry, { gate, connections });
    },
    stop() {
      gate.stop();
      connections?.stop();
    },
  };
}
