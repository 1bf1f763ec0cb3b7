/**
 * Converts the errors that a route throws into responses, so that no request can crash the daemon.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { LogEventName } from "@primroseshed/core";
import { GivenUpError } from "../intake/intake_gate.ts";
import { CutOffError } from "./body.ts";
import { type CallerError, RequestError, sendError } from "./errors.ts";

/** Handles a request. */
export type Route = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void> | void;

/** Options of {@link createGuard}. */
export interface GuardOptions {
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Thrown while no configuration is in force. */
export class NotReadyError extends Error {}

const NOT_READY: CallerError = {
  code: "not_ready",
  message: "This entry VM is not ready yet; try again",
  verdict: "not_run",
};

/** Returns the answer to a request that was given up before it was complete. */
export function givenUpAnswer(
  { message, retryAfterMs }: GivenUpError,
): CallerError {
  return { code: "overloaded", message, verdict: "not_run", retryAfterMs };
}

/** Creates a function that wraps routes with error handling. */
export function createGuard({ log }: GuardOptions): (route: Route) => Route {
  function sendRequestError(
    { code, message }: RequestError,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const event = code === "unauthorized" ? "key_unknown" : "request_malformed";
    log(event, { code, path: request.url });
    if (code === "body_too_large") response.setHeader("connection", "close");
    sendError(response, { code, message, verdict: "not_run" });
  }

  function handleFailure(
    error: unknown,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    if (error instanceof RequestError) {
      return sendRequestError(error, request, response);
    }
    if (error instanceof GivenUpError) {
      response.setHeader("connection", "close");
      return sendError(response, givenUpAnswer(error));
    }
    if (error instanceof NotReadyError) return sendError(response, NOT_READY);
    if (!(error instanceof CutOffError)) {
      const cause = error instanceof Error ? error.stack : String(error);
      log("internal_error", { cause });
    }
    response.destroy();
  }

  return (route) => async (request, response) => {
    try {
      await route(request, response);
    } catch (error) {
      handleFailure(error, request, response);
    }
  };
}
