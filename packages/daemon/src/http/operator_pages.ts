/**
 * Pages of the operators' listener that all kinds of daemons share: health, metrics, state.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { dumpState, type State } from "@primroseshed/core";
import polka from "polka";
import type { Registry } from "prom-client";
import { sendError, sendJson } from "./errors.ts";
import type { Route } from "./guard.ts";

/** Options of {@link createOperatorPages}. */
export interface OperatorPagesOptions {
  state: State;
  registry: Registry;
  /** Wraps every page except the health check. */
  guarded(route: Route): Route;
  /** Document that the response to an unknown path refers to. */
  help: string;
}

/** Creates the shared pages; each kind of daemon adds its own. */
export function createOperatorPages(
  { state, registry, guarded, help }: OperatorPagesOptions,
): polka.Polka {
  async function showMetrics(
    _request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = await registry.metrics();
    response.writeHead(200, { "content-type": registry.contentType });
    response.end(text);
  }

  return polka({
    onNoMatch(_request, response) {
      sendError(response, {
        code: "not_found",
        message: `Cannot find this page; see ${help}`,
        verdict: "not_run",
      });
    },
  })
    .get("/healthz", (_request, response) => {
      sendJson(response, 200, { body: { healthy: true } });
    })
    .get("/metrics", guarded(showMetrics))
    .get(
      "/state",
      guarded((_request, response) =>
        sendJson(response, 200, { body: dumpState(state) })
      ),
    );
}
