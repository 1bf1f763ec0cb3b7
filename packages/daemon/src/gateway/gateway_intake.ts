/**
 * Bounds what a gateway holds for its callers by the memory and the descriptors of its VM.
 *
 * @module
 */
import type { Server } from "node:http";
import {
  type CallerLimits,
  intakeLimitsOf,
  type LogEventName,
} from "@primroseshed/core";
import type { Registry } from "prom-client";
import { monotonicNow } from "../driver/driver.ts";
import {
  type ConnectionLimit,
  limitConnections,
} from "../intake/connection_limit.ts";
import { createIntakeGate, type IntakeGate } from "../intake/intake_gate.ts";
import { addIntakeMetrics } from "../intake/intake_metrics.ts";
import { type BufferBudget, createBufferBudget } from "./buffer_budget.ts";

/** Intake of a gateway. */
export interface GatewayIntake {
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

/** Options of {@link createGatewayIntake}. */
export interface GatewayIntakeOptions {
  /** Limits of the VM. */
  node: { memoryMb: number; maxDescriptors: number };
  limits: CallerLimits;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Creates the intake. */
export function createGatewayIntake(
  { node, limits: initialLimits, log }: GatewayIntakeOptions,
): GatewayIntake {
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
