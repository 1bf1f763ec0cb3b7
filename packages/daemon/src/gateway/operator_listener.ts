/**
 * The operators' listener of a gateway; read-only, and keys are not included in its responses.
 *
 * @module
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import { ageOf, type State, toJson } from "@primroseshed/core";
import { sendJson } from "../http/errors.ts";
import { createOperatorPages } from "../http/operator_pages.ts";
import type { GatewayMetrics } from "./metrics.ts";
import { createGatewayStatus, listGatewayTargets } from "./status.ts";

/** Options of {@link createOperatorListener}. */
export interface OperatorListenerOptions {
  state: State;
  metrics: GatewayMetrics;
  now(): number;
}

/** Creates the operators' listener. */
export function createOperatorListener(
  { state, metrics, now }: OperatorListenerOptions,
): Server {
  const gateway = state.gateway!;

  function showConfig(response: ServerResponse): void {
    const document = gateway.routing?.document;
    const body = {
      node: state.node.name,
      offset: document?.version,
      ageMs: ageOf(gateway.routingFreshness, now()),
      document: document && {
        routes: document.routes,
        services: document.services,
        limits: document.limits,
      },
    };
    sendJson(response, 200, { body: toJson(body) });
  }

  const app = createOperatorPages({
    state,
    registry: metrics.registry,
    guarded: (route) => route,
    help: "docs/OPERATIONS.md",
  })
    .get("/status", (_request, response) => {
      sendJson(response, 200, {
        body: toJson(createGatewayStatus(state, now())),
      });
    })
    .get("/groups", (_request, response) => {
      sendJson(response, 200, { body: toJson(listGatewayTargets(state)) });
    })
    .get("/config", (_request, response) => showConfig(response));
  const server = createServer();
  server.on("request", app.handler);
  return server;
}
