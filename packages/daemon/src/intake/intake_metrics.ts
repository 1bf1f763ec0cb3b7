/**
 * Metrics of what a daemon takes in.
 *
 * @module
 */
import type { GiveUpCause, HoldKind } from "@primroseshed/core";
import { Gauge, type Registry } from "prom-client";
import type { ConnectionLimit } from "./connection_limit.ts";
import type { IntakeGate } from "./intake_gate.ts";

const KINDS: readonly HoldKind[] = ["heads", "reading", "waiting", "kept"];
const CAUSES: readonly GiveUpCause[] = ["budget", "chunks", "slow"];

/** Adds the metrics; they are read when scraped. */
export function addIntakeMetrics(
  registry: Registry,
  { gate, connections }: { gate: IntakeGate; connections: ConnectionLimit },
): void {
  const registers = [registry];
  new Gauge({
    name: "primrose_intake_bytes",
    help: "Bytes held of callers' requests, by kind",
    labelNames: ["kind"],
    registers,
    collect() {
      for (const kind of KINDS) this.set({ kind }, gate.intake.heldBytes[kind]);
    },
  });
  new Gauge({
    name: "primrose_intake_limit_bytes",
    help: "Bytes that may be held of all callers' requests",
    registers,
    collect() {
      this.set(gate.intake.limits.maxBytes);
    },
  });
  new Gauge({
    name: "primrose_intake_given_up",
    help: "Unfinished requests given up since the start, by cause",
    labelNames: ["cause"],
    registers,
    collect() {
      for (const cause of CAUSES) {
        this.set({ cause }, gate.givenUpCount(cause));
      }
      this.set({ cause: "connections" }, connections.closedCount());
    },
  });
  new Gauge({
    name: "primrose_caller_connections",
    help: "Open connections of callers",
    registers,
    collect() {
      this.set(connections.count());
    },
  });
}
