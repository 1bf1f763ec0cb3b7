/**
 * The callers' listener of the product's own interface: chat completions, the list of models and plain services.
 *
 * Authenticates and validates each request, then passes it to the reducer and registers its exchange.
 *
 * @module
 */
import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  type Arrival,
  type EventBody,
  type LogEventName,
  type Principal,
  type State,
} from "@primroseshed/core";
import polka from "polka";
import { onConnectionEnd } from "./connection_end.ts";
import type { Agents } from "../backend/transport.ts";
import type { Settings } from "../settings/schema.ts";
import { authenticate, indexKeys, type KeyIndex } from "./auth.ts";
import { readBody, readBodyStart } from "./body.ts";
import { createCallerConnections } from "./caller_connections.ts";
import { createGuard, NotReadyError, type Route } from "./guard.ts";
import type { PeerRelay } from "./peer_relay.ts";
import { createChatExchange } from "./chat_exchange.ts";
import { readChatRequest } from "./chat_request.ts";
import {
  listNames,
  maxOutputOf,
  modelOf,
  serviceOf,
} from "./deployment_lookup.ts";
import type { IntakeGate } from "../intake/intake_gate.ts";
import { breakOff } from "./break_off.ts";
import {
  RequestError,
  sendClientError,
  sendError,
  sendJson,
} from "./errors.ts";
import { fingerprintOf } from "./fingerprint.ts";
import type { Exchange, Exchanges } from "./exchanges.ts";
import { readRequestOptions } from "./request_headers.ts";
import { createServiceExchange } from "./service_exchange.ts";

/** Options of {@link createCallerApp}. */
export interface CallerAppOptions {
  settings: Settings;
  state: State;
  exchanges: Exchanges;
  agents: Agents;
  relay: PeerRelay;
  gate: IntakeGate;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

type Next = () => void;

const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** Creates the callers' server. */
export function createCallerApp(options: CallerAppOptions): Server {
  const { settings, state, exchanges, agents, relay, gate } = options;
  const { dispatch, log } = options;
  const { limits } = settings;
  const connections = createCallerConnections();
  let keys: KeyIndex = new Map();
  let keysOffset: number | undefined;
  let requestCount = 0;

  function currentKeys(): KeyIndex {
    if (state.config !== undefined && keysOffset !== state.config.offset) {
      keys = indexKeys(state.config.config);
      keysOffset = state.config.offset;
    }
    return keys;
  }

  function principalOf(request: IncomingMessage): Principal {
    if (state.config === undefined) throw new NotReadyError();
    return authenticate(currentKeys(), request.headers.authorization);
  }

  function nextId(prefix: string): string {
    requestCount += 1;
    return `${prefix}-${state.node.name}-${state.node.incarnation}-${requestCount}`;
  }

  function registerRequest(
    arrival: Arrival,
    { request, response, exchange }: {
      request: IncomingMessage;
      response: ServerResponse;
      exchange: Exchange;
    },
  ): void {
    const id = arrival.request;
    exchanges.set(id, exchange);
    onConnectionEnd(request, response, () => {
      if (response.writableFinished) return;
      dispatch({ kind: "caller_gone", request: id });
    });
    response.on("close", () => exchanges.delete(id));
    dispatch({ kind: "request_arrived", ...arrival });
  }

  async function completeChat(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const principal = principalOf(request);
    const { key: _key, ...requestOptions } = readRequestOptions(
      request.headers,
    );
    const held = gate.admit(request, response, {
      deadlineMs: requestOptions.deadlineMs ?? limits.bodyTimeoutMs,
    });
    const bytes = await readBody(request, {
      maxBytes: limits.maxBodyBytes,
      held,
    });
    const chat = readChatRequest(bytes);
    const deployment = modelOf(state, principal, chat.body.model);
    const maxOutputTokens = maxOutputOf(chat, deployment);
    chat.body.max_tokens = maxOutputTokens;
    const id = nextId("chatcmpl");
    const exchange = createChatExchange({
      id,
      chat,
      request,
      response,
      agents,
      firstByteTimeoutMs: settings.timing.firstByteTimeoutMs,
      callerStallMs: limits.callerStallMs,
      dispatch,
      log,
    });
    registerRequest(
      {
        request: id,
        deployment: chat.body.model,
        principal,
        ...requestOptions,
        promptTokens: chat.promptTokens,
        maxOutputTokens,
        prefixes: chat.prefixes,
        // One owner cannot make another one's prompts suspect.
        promptParts: chat.promptParts.map((part) =>
          `${principal.owner}/${part}`
        ),
        fingerprint: fingerprintOf({
          caller: principal.owner,
          method: "POST",
          host: chat.body.model,
          path: request.url ?? "/",
          body: bytes,
        }),
        idempotent: true,
        ...(chat.body.adapter !== undefined && { adapter: chat.body.adapter }),
      },
      { request, response, exchange },
    );
  }

  async function callService(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const principal = principalOf(request);
    const [, name = "", path = "/", query = ""] =
      SERVICE_PATH.exec(request.url ?? "") ?? [];
    const requestOptions = readRequestOptions(request.headers);
    const deployment = serviceOf(state, principal, decodeName(name));
    const held = gate.admit(request, response, {
      deadlineMs: requestOptions.deadlineMs ?? limits.bodyTimeoutMs,
    });
    const start = await readBodyStart(request, {
      maxBytes: limits.replayBytes,
      held,
    });
    // Part of it may have run by then, so its caller gets no answer.
    held.whenGivenUp(() => breakOff(request, response));
    const isIdempotentMethod = deployment.idempotentMethods.includes(
      request.method ?? "GET",
    );
    if (!start.isWhole && requestOptions.key !== undefined) {
      throw new RequestError(
        "body_too_large",
        `Cannot accept a body of more than ${limits.replayBytes} bytes with an idempotency key; shorten it or omit the key`,
      );
    }
    const id = nextId("call");
    const idempotent = isIdempotentMethod && start.isWhole;
    const digest = createHash("sha256").update(
      `${request.method} ${path}${query}\n`,
    ).update(start.bytes).digest("hex");
    const exchange = createServiceExchange({
      id,
      deployment,
      path: `${path}${query}`,
      start,
      held,
      idempotent,
      storesResponse: requestOptions.key !== undefined && !isIdempotentMethod,
      request,
      response,
      agents,
      dispatch,
      log,
    });
    const { key, ...rest } = requestOptions;
    registerRequest(
      {
        request: id,
        deployment: decodeName(name),
        principal,
        ...rest,
        ...(key !== undefined && !isIdempotentMethod && { key }),
        promptTokens: 0,
        maxOutputTokens: 0,
        prefixes: [],
        idempotent,
        digest,
        ...(start.isWhole && {
          fingerprint: fingerprintOf({
            caller: principal.owner,
            method: request.method ?? "GET",
            host: decodeName(name),
            path: request.url ?? "/",
            body: start.bytes,
          }),
        }),
      },
      { request, response, exchange },
    );
  }

  function listModels(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const names = listNames(state, principalOf(request), "model");
    const data = names.map((id) => ({
      id,
      object: "model",
      created: 0,
      owned_by: "primroseshed",
    }));
    sendJson(response, 200, { body: { object: "list", data } });
  }

  const guarded = createGuard({ log });

  /** Lets the connection close with this answer where the daemon stops by the time at which the answer begins. */
  function closeWhileStopping(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const writeHead = response.writeHead.bind(response) as (
      ...args: unknown[]
    ) => ServerResponse;
    response.writeHead = ((...args: unknown[]) => {
      if (state.phase !== "serving") connections.closeAfter(request, response);
      return writeHead(...args);
    }) as ServerResponse["writeHead"];
  }

  function checkHeaderCount(
    request: IncomingMessage,
    response: ServerResponse,
    next: Next,
  ): void {
    // Node ends the connection, and with it this request, after the answer that closes it.
    if (!connections.accept(request)) return;
    closeWhileStopping(request, response);
    if (request.rawHeaders.length / 2 <= limits.maxHeaders) return next();
    const message =
      `Cannot accept more than ${limits.maxHeaders} headers; send fewer`;
    sendError(response, {
      code: "headers_too_large",
      message,
      verdict: "not_run",
    });
  }

  /** Returns a route that goes through another daemon while this one reaches no backend servers. */
  function reachable(route: Route): Route {
    return guarded((request, response) =>
      relay.isNeeded(request)
        ? relay.relay(request, response)
        : route(request, response)
    );
  }

  const server = createServer({
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headerTimeoutMs,
    requestTimeout: limits.bodyTimeoutMs,
    connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
  });
  server.maxHeadersCount = 0;
  server.on("clientError", sendClientError);
  const app = polka({
    onNoMatch(request, response) {
      const message =
        `Cannot find ${request.method} ${request.path}; see docs/api.md`;
      sendError(response, { code: "not_found", message, verdict: "not_run" });
    },
  })
    .use(checkHeaderCount)
    .post("/v1/chat/completions", reachable(completeChat))
    .get("/v1/models", guarded(listModels))
    .all("/services/:name", reachable(callService))
    .all("/services/:name/*", reachable(callService));
  server.on("request", app.handler);
  return server;
}

const CONNECTION_CHECK_INTERVAL_MS = 1_000;

function decodeName(name: string): string {
  try {
    return decodeURIComponent(name);
  } catch {
    return name;
  }
}
