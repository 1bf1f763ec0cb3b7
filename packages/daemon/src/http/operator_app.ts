/**
 * The operators' listener of the product's own interface.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  type EventBody,
  notReadyCause,
  type State,
  toJson,
} from "@primroseshed/core";
import type { Metrics } from "../observe/metrics.ts";
import type { Settings } from "../settings/schema.ts";
import { isOperator } from "./auth.ts";
import { readBody } from "./body.ts";
import { RequestError, sendJson } from "./errors.ts";
import { createGuard, type GuardOptions, type Route } from "./guard.ts";
import { createOperatorPages } from "./operator_pages.ts";
import { createStatus } from "./status.ts";

/** Options of {@link createOperatorApp}. */
export interface OperatorAppOptions extends GuardOptions {
  settings: Settings;
  state: State;
  metrics: Metrics;
  dispatch(event: EventBody): void;
}

const MAX_BODY_BYTES = 4_096;

function parseDrain(text: string): { what: "node" | "vm"; name: string } {
  let value: { what?: unknown; name?: unknown } | null;
  try {
    value = JSON.parse(text);
  } catch {
    throw new RequestError(
      "invalid_request",
      'Cannot parse the body; send {"what":"node"|"vm","name":"..."}',
    );
  }
  const { what, name } = value ?? {};
  if (
    (what !== "node" && what !== "vm") || typeof name !== "string" ||
    name === ""
  ) {
    throw new RequestError(
      "invalid_request",
      'Cannot drain; send {"what":"node"|"vm","name":"..."}',
    );
  }
  return { what, name };
}

/** Creates the operators' server: health, readiness, metrics, state, status, groups, configuration and drains. */
export function createOperatorApp(
  { settings, state, metrics, dispatch, log }: OperatorAppOptions,
): Server {
  const guard = createGuard({ log });

  function guarded(route: Route): Route {
    return guard((request, response) => {
      const { operatorKeySha256 } = settings.secrets;
      if (!isOperator(request.headers.authorization, operatorKeySha256)) {
        throw new RequestError(
          "unauthorized",
          "Cannot accept this key; send the operators' bearer key",
        );
      }
      return route(request, response);
    });
  }

  async function drain(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const order = parseDrain(
      (await readBody(request, { maxBytes: MAX_BODY_BYTES })).toString("utf8"),
    );
    if (order.what === "node" && order.name !== state.node.name) {
      throw new RequestError(
        "invalid_request",
        `Cannot drain "${order.name}" here; this daemon is "${state.node.name}"`,
      );
    }
    dispatch({ kind: "drain_ordered", ...order });
    sendJson(response, 202, { body: { draining: order } });
  }

  function showReadiness(
    _request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const cause = notReadyCause(state);
    sendJson(response, cause === undefined ? 200 : 503, {
      body: { ready: cause === undefined, cause },
    });
  }

  function showConfig(
    _request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const { acceptedConfig, config, node, fold } = state;
    const body = {
      node: node.name,
      site: node.site,
      offset: config?.offset,
      author: acceptedConfig?.author,
      document: acceptedConfig?.document,
      resolved: config?.config,
      history: fold.history,
      log: settings.platform.log,
    };
    sendJson(response, 200, { body });
  }

  const app = createOperatorPages({
    state,
    registry: metrics.registry,
    guarded,
    help: "docs/api.md",
  })
    .get("/readyz", showReadiness)
    .get(
      "/status",
      guarded((_request, response) =>
        sendJson(response, 200, { body: createStatus(state) })
      ),
    )
    .get(
      "/groups",
      guarded((_request, response) =>
        sendJson(response, 200, { body: toJson([...state.targets.values()]) })
      ),
    )
    .get("/config", guarded(showConfig))
    .post("/drain", guarded(drain));
  const server = createServer();
  server.on("request", app.handler);
  return server;
}
