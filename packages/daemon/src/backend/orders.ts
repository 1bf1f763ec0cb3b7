/**
 * Sends orders to engines.
 *
 * @module
 */
import type { Effect, LogEventName } from "@primroseshed/core";
import { type Agent, request } from "undici";
import { patientSignal } from "../driver/patient_timer.ts";
import { monotonicNow } from "../driver/driver.ts";

/** The effect that sends an order to an engine. */
export type OrderEffect = Extract<Effect, { kind: "order" }>;

/** Longest wait for an engine's response to an order, ms. */
const ORDER_TIMEOUT_MS = 2_000;

/** Options of {@link createOrderSender}. */
export interface OrderSenderOptions {
  agent: Agent;
  log(event: LogEventName, fields: Record<string, unknown>): void;
}

/** Creates a sender of orders; it drops an order that is no longer valid at the time of sending. */
export function createOrderSender(
  { agent, log }: OrderSenderOptions,
): (effect: OrderEffect) => Promise<void> {
  return async ({ vm, address, fence, validUntil, order }) => {
    const leftMs = validUntil - monotonicNow();
    if (leftMs <= 0) return log("order_dropped", { vm, action: order.action });
    try {
      const response = await request(`${address}/orders`, {
        method: "POST",
        dispatcher: agent,
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ fence, ...order }),
        signal: patientSignal(Math.min(ORDER_TIMEOUT_MS, leftMs)),
      });
      await response.body.dump();
      if (response.statusCode >= 300) {
        log("order_failed", {
          vm,
          action: order.action,
          status: response.statusCode,
        });
      }
    } catch (error) {
      log("order_failed", {
        vm,
        action: order.action,
        cause: (error as Error).message,
      });
    }
  };
}
