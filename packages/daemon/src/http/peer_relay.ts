/**
 * Sends callers' requests through another daemon while this one is cut off from the backend servers.
 *
 * The other daemon handles them as those of its own callers: keys, limits, claims and attempts are its own decisions. A
 * request takes one hop at most. It goes to a further daemon only where the one before certainly ran nothing.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { PeerAddress, PeerTls } from "../peers/mesh.ts";
import {
  isCutOff,
  type LogEventName,
  type Outcome,
  type State,
  type Verdict,
  verdictOf,
} from "@primroseshed/core";
import { createAnswerAgent, createConnect } from "../backend/answer_agent.ts";
import { type Attempt, startAttempt } from "../backend/transport.ts";
import type { IntakeGate } from "../intake/intake_gate.ts";
import { readBody } from "./body.ts";
import { breakOff } from "./break_off.ts";
import { sendError } from "./errors.ts";
import { findUnwritable, type HeaderMap } from "./header_bytes.ts";
import { forwardableHeaders, RELAYED_BY_HEADER } from "./request_headers.ts";

/** Options of {@link createPeerRelay}. */
export interface PeerRelayOptions {
  state: State;
  tls: PeerTls | undefined;
  connectTimeoutMs: number;
  firstByteTimeoutMs: number;
  maxBodyBytes: number;
  gate: IntakeGate;
  /** Returns the known daemons. */
  listPeers(): readonly PeerAddress[];
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Relay of requests to other daemons. */
export interface PeerRelay {
  /** Returns whether a request of a caller has to go through another daemon. */
  isNeeded(request: IncomingMessage): boolean;
  relay(request: IncomingMessage, response: ServerResponse): Promise<void>;
  stop(): void;
}

/** How a request fared at a daemon; `relayed` once its answer is on the way to the caller. */
type Result =
  | { kind: "relayed" }
  | { kind: "failed"; outcome: Outcome; verdict: Verdict };

/** Daemons that one request is sent to, one after the other. */
const MAX_PEERS = 3;
const NOT_SERVING_STATUS = 503;

/** Returns whether a request was sent by another daemon for one of its callers. */
export function isRelayed(request: IncomingMessage): boolean {
  return request.headers[RELAYED_BY_HEADER] !== undefined;
}

/** Creates the relay. */
export function createPeerRelay(options: PeerRelayOptions): PeerRelay {
  const { state, tls, connectTimeoutMs, log } = options;
  const agent = createAnswerAgent({
    pipelining: 1,
    connect: createConnect({ ...tls, timeout: connectTimeoutMs }),
  });
  let turn = 0;

  /** Lists the daemons that may serve, another one first each time. */
  function usablePeers(): PeerAddress[] {
    const usable = options.listPeers().filter(({ name }) => {
      const peer = state.peers.get(name);
      return peer !== undefined && peer.lostAt === undefined &&
        peer.digest?.draining !== true;
    });
    if (usable.length === 0) return [];
    turn += 1;
    const first = turn % usable.length;
    return [...usable.slice(first), ...usable.slice(0, first)]
      .slice(0, MAX_PEERS);
  }

  function send(
    request: IncomingMessage,
    response: ServerResponse,
    { peer, body }: { peer: PeerAddress; body: Buffer },
  ): Promise<Result> {
    const { host: _host, ...headers } = forwardableHeaders(request.headers, {
      consume: false,
    });
    delete headers["content-length"];
    return new Promise((resolve) => {
      const fail = (outcome: Outcome) =>
        resolve({ kind: "failed", outcome, verdict: verdictOf(outcome) });
      const attempt: Attempt = startAttempt(agent, {
        origin: `${tls ? "https" : "http"}://${peer.address}`,
        path: request.url!,
        method: request.method as "GET",
        headers: { ...headers, [RELAYED_BY_HEADER]: state.node.name },
        body: body.length > 0 ? body : null,
        headersTimeout: options.firstByteTimeoutMs,
        bodyTimeout: 0,
      }, {
        events: {
          onHeaders(status, received: HeaderMap) {
            const isRefusal = status === NOT_SERVING_STATUS &&
              received["primrose-verdict"] === "not_run";
            if (isRefusal) {
              attempt.cancel();
              return fail("status_not_run");
            }
            const passed = forwardableHeaders(received, { consume: false });
            const unwritable = findUnwritable(passed);
            if (unwritable !== undefined) {
              const { name: peerName } = peer;
              log("answer_unwritable", { peer: peerName, header: unwritable });
              attempt.cancel();
              return fail("broken_frame");
            }
            response.writeHead(status, passed);
            resolve({ kind: "relayed" });
          },
          onData(chunk) {
            if (response.destroyed || response.write(chunk)) return;
            attempt.pause();
            response.once("drain", () => attempt.resume());
          },
          onEnd: () => void response.end(),
          onFailure(outcome) {
            if (response.headersSent) breakOff(request, response);
            fail(outcome);
          },
        },
      });
      response.once("close", () => attempt.cancel());
    });
  }

  return {
    isNeeded: (request) => !isRelayed(request) && isCutOff(state),
    async relay(request, response) {
      const { maxBodyBytes: maxBytes } = options;
      const held = options.gate.admit(request, response);
      const body = await readBody(request, { maxBytes, held });
      held.setStage("kept");
      let verdict: Verdict = "not_run";
      for (const peer of usablePeers()) {
        const result = await send(request, response, { peer, body });
        const { kind } = result;
        const outcome = kind === "failed" ? result.outcome : undefined;
        const { method, url: path } = request;
        log("request_relayed", { peer: peer.name, method, path, outcome });
        if (result.kind === "relayed" || response.destroyed) return;
        verdict = result.verdict;
        if (verdict !== "not_run") break;
      }
      sendError(response, {
        code: verdict === "not_run" ? "no_capacity" : "backend_failed",
        message:
          "This entry VM is cut off from the backend servers, and no other one has served the request; try again",
        verdict,
      });
    },
    stop: () => void agent.destroy(),
  };
}
