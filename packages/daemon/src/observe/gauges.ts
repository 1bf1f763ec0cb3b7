/**
 * Gauges whose values are read when they are scraped.
 *
 * @module
 */
import { Gauge, type Registry } from "prom-client";

/** Adds a gauge without labels. */
export type GaugeAdder = (
  name: string,
  help: string,
  read: () => number,
) => void;

/**
 * Returns a function that adds gauges to registries.
 *
 * @example
 * ```ts
 * createGaugeAdder([registry])("primrose_peers", "Peers known", () => peers.size);
 * ```
 */
export function createGaugeAdder(registers: Registry[]): GaugeAdder {
  return (name, help, read) => {
    new Gauge({
      name,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  };
}
