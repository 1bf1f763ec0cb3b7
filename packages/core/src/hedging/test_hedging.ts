/**
 * Creates gateways that hedge requests, for tests.
 *
 * @module
 */
import {
  createDocument,
  createHarness,
  createRoute,
  createRunner,
  effectsOf,
  type GatewayHarness,
  publish,
  sendRequest,
} from "../gateway/test_fixture.ts";
import type { Route } from "../gateway/types.ts";
import { MIN_OBSERVATIONS } from "./constants.ts";

/** Limits of the tests. */
export const HEDGING = { maxShare: 0.1, percentile: 95 };
/** Time of a fast response, ms. */
export const FAST_MS = 50;
/** Time after which a request without a response is slow, ms. */
export const SLOW_MS = 200;

/** Options of {@link createGatewayUnderTest}. */
export interface Options {
  runners?: number;
  isHedging?: boolean;
  route?: Partial<Route>;
  seed?: number;
}

/** Creates a gateway with runners of a plain service. */
export function createGatewayUnderTest(
  { runners = 4, isHedging = true, route = {}, seed = 1 }: Options = {},
): GatewayHarness {
  const harness = createHarness(isHedging ? { hedging: HEDGING } : {}, {
    seed,
    retries: 5,
  });
  publish(harness, {
    runners: Array.from(
      { length: runners },
      (_, index) =>
        createRunner(`desk-${index}`, { address: `10.0.0.${index + 1}:80` }),
    ),
    document: createDocument({
      routes: [createRoute({ timeoutMs: 5_000, ...route })],
    }),
  });
  return harness;
}

/** Answers an attempt completely and returns the effects. */
export function answer(
  harness: GatewayHarness,
  request: string,
  { attempt = 1 }: { attempt?: number } = {},
) {
  harness.feed({
    kind: "response_started",
    request,
    attempt,
    status: 200,
    verdict: "ran",
    load: { running: 0, waiting: 0 },
  });
  return harness.feed({
    kind: "response_ended",
    request,
    attempt,
    status: 200,
    verdict: "ran",
    isRelayable: false,
  });
}

/** Serves enough fast requests for a delay to be known and hedged requests to be allowed. */
export function observeFastRequests(harness: GatewayHarness): void {
  for (let index = 0; index < MIN_OBSERVATIONS; index++) {
    sendRequest(harness, `fast-${index}`);
    harness.advance(FAST_MS);
    answer(harness, `fast-${index}`);
  }
}

/** Returns the sends of a request. */
export function sendsOf(harness: GatewayHarness, request: string) {
  return effectsOf(harness.effects, "send_to_runner").filter((each) =>
    each.request === request
  );
}

/** Returns why a request was not hedged. */
export function denialsOf(harness: GatewayHarness, request: string) {
  return effectsOf(harness.effects, "log").filter(({ event, fields }) =>
    event === "hedge_denied" && fields.request === request
  ).map(({ fields }) => fields.cause);
}
