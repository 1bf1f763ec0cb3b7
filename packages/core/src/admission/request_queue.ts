/**
 * Fair queue of the requests on the product's own path, over owner, team and caller.
 *
 * @module
 */
import { pathOf, type Request } from "../request/types.ts";
import * as excess from "./fair_excess.ts";
import * as fair from "./fair_queue.ts";

/** A node of the fair-queueing tree of one rank. */
export type RequestNode = fair.FairNode<Request>;

const REQUEST_VIEW: fair.ItemView<Request> = {
  pathOf,
  costOf: ({ predictedCost }) => predictedCost,
  isWaiting: ({ phase }) => phase === "queued",
};

/** Adds a request to its caller's queue. */
export function enqueue(
  root: RequestNode,
  request: Request,
  options: Omit<fair.EnqueueOptions<Request>, "view">,
): void {
  fair.enqueue(root, request, { ...options, view: REQUEST_VIEW });
}

/** Subtracts a waiting request from the backlog and cost of its path. */
export function removeWaiting(root: RequestNode, request: Request): void {
  fair.removeWaiting(root, request, { view: REQUEST_VIEW });
}

/** Returns the request that is next in fair order, without removing it; of one owner where it is named. */
export function peekFair(
  root: RequestNode,
  options: { owner?: string } = {},
): Request | undefined {
  return fair.peekFair(root, { ...options, view: REQUEST_VIEW });
}

/** Returns the number of waiting requests of the caller of `request`. */
export function callerBacklog(root: RequestNode, request: Request): number {
  return excess.leafBacklog(root, request, { view: REQUEST_VIEW });
}

/** Returns the waiting request that is last in fair order, which a queue over its bound sheds. */
export function peekExcess(
  root: RequestNode,
  options: Omit<excess.ExcessOptions<Request>, "view">,
): Request | undefined {
  return excess.peekExcess(root, { ...options, view: REQUEST_VIEW });
}

/** Charges served cost to a request's path; negative amounts refund an overestimate. */
export function charge(
  root: RequestNode,
  request: Request,
  options: { amount: number; weightOf: fair.WeightOf },
): void {
  fair.charge(root, request, { ...options, view: REQUEST_VIEW });
}
