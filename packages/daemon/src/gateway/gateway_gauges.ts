/**
 * Gauges of a gateway, read from its state when they are scraped.
 *
 * @module
 */
import {
  ageOf,
  isBackingOff,
  isGatewayReady,
  isHeld,
  isLeader,
  isLeaving,
  isPathLost,
  isStoreReader,
  listEvacuatedZones,
  type State,
} from "@primroseshed/core";
import { Gauge, type Registry } from "prom-client";
import { createGaugeAdder } from "../observe/gauges.ts";

const MS_PER_SECOND = 1_000;

/** Registers the gauges. */
export function createGauges(
  state: State,
  { registers, now, droppedLines }: {
    registers: Registry[];
    now: () => number;
    droppedLines: () => number;
  },
): void {
  const gateway = state.gateway!;
  const addGauge = createGaugeAdder(registers);
  addGauge(
    "primrose_log_lines_left_out",
    "Log lines dropped since the start",
    droppedLines,
  );
  const ageInSeconds = (freshness: typeof gateway.routingFreshness) =>
    ageOf(freshness, now()) / MS_PER_SECOND;
  addGauge(
    "primrose_routing_age_seconds",
    "Time since the configuration of routes and keys was last confirmed as current",
    () => ageInSeconds(gateway.routingFreshness),
  );
  addGauge(
    "primrose_runners_age_seconds",
    "Time since the list of runners was last confirmed as current",
    () => ageInSeconds(gateway.runnersFreshness),
  );
  addGauge(
    "primrose_routing_version",
    "Version of the configuration in force",
    () => gateway.routing?.document.version ?? -1,
  );
  addGauge(
    "primrose_gateway_ready",
    "1 while the load balancer should send connections here",
    () => isGatewayReady(state, now()) ? 1 : 0,
  );
  addGauge(
    "primrose_gateway_in_flight",
    "Requests known to this daemon",
    () => gateway.requests.size,
  );
  addGauge(
    "primrose_store_reader",
    "1 while this daemon reads the store itself, with success",
    () => isStoreReader(state) ? 1 : 0,
  );
  addGauge(
    "primrose_followers",
    "Daemons that follow this one",
    () => gateway.readSharing.followers.size,
  );
  addGauge(
    "primrose_suspected_runners",
    "Runners that are avoided since another daemon could not reach them",
    () =>
      [...gateway.readSharing.suspectedUntil.values()].filter((until) =>
        until > now()
      ).length,
  );
  addGauge(
    "primrose_backoff_runners",
    "Runners that have turned a request away and want none for a while",
    () =>
      [...gateway.runnerStats.values()].filter((stats) =>
        isBackingOff(stats, now())
      ).length,
  );
  addGauge(
    "primrose_leaving_runners",
    "Known runners that have said in an answer that they leave",
    () =>
      [...gateway.runners.values()].filter((runner) =>
        isLeaving(gateway, runner)
      ).length,
  );
  addGauge(
    "primrose_evacuated_zones",
    "Availability zones whose runners get no requests, by order of an operator",
    () => listEvacuatedZones(gateway).length,
  );
  addGauge(
    "primrose_lost_paths",
    "Services whose runners this daemon does not reach",
    () =>
      [...gateway.servicePaths.keys()].filter((service) =>
        isPathLost(gateway, service)
      ).length,
  );
  addGauge(
    "primrose_quarantined_parts",
    "Parts of prompts that are held back since runners crashed on them",
    () =>
      [...state.quarantine.suspects.values()].filter(({ record }) =>
        isHeld(record)
      ).length,
  );
  addGauge(
    "primrose_planner_duty",
    "1 while this daemon plans replica groups",
    () => isLeader(gateway.groupPlanner.leadership, now()) ? 1 : 0,
  );
  addGauge(
    "primrose_orders_in_doubt",
    "Orders without a response that a runner may still execute",
    () =>
      [...gateway.groupPlanner.pendingOrders.values()].filter(({ outcome }) =>
        outcome === "unknown"
      ).length,
  );
  new Gauge({
    name: "primrose_runners",
    help: "Known runners, by service and state of their group membership",
    labelNames: ["service", "place"],
    registers,
    collect() {
      this.reset();
      for (const { service, state, membership } of gateway.runners.values()) {
        this.inc({ service, place: membership?.state ?? state });
      }
    },
  });
}
