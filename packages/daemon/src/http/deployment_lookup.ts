/**
 * Finds the deployment that a caller names, and checks what it asks of it.
 *
 * @module
 */
import {
  type ModelDeployment,
  type Principal,
  servesCaller,
  type ServiceDeployment,
  type State,
} from "@primroseshed/core";
import { type ChatRequest, unknownNameMessage } from "./chat_request.ts";
import { RequestError } from "./errors.ts";

/** Returns a model; throws a `RequestError` where there is none of this name. */
export function modelOf(
  state: State,
  principal: Principal,
  model: string,
): ModelDeployment {
  const deployment = state.config?.config.deployments[model];
  if (deployment?.kind === "model") return deployment;
  throw new RequestError(
    "not_found",
    unknownNameMessage("model", model, listNames(state, principal, "model")),
  );
}

/** Returns a service; throws a `RequestError` where there is none of this name. */
export function serviceOf(
  state: State,
  principal: Principal,
  name: string,
): ServiceDeployment {
  const deployment = state.config?.config.deployments[name];
  if (deployment?.kind === "service") return deployment;
  throw new RequestError(
    "not_found",
    unknownNameMessage("service", name, listNames(state, principal, "service")),
  );
}

/** Lists the names of the deployments of a kind that serve a caller. */
export function listNames(
  state: State,
  principal: Principal,
  kind: "model" | "service",
): string[] {
  return Object.entries(state.config?.config.deployments ?? {})
    .filter(([, deployment]) =>
      deployment.kind === kind && servesCaller(deployment, principal)
    )
    .map(([name]) => name);
}

/** Returns the tokens that a chat may generate; throws a `RequestError` where it asks for more than is allowed. */
export function maxOutputOf(
  chat: ChatRequest,
  deployment: ModelDeployment,
): number {
  const requestedTokens = chat.maxOutputTokens ?? deployment.maxOutputTokens;
  if (requestedTokens > deployment.maxOutputTokens) {
    const message =
      `max_tokens: ${requestedTokens} is more than this deployment allows; ask for at most ${deployment.maxOutputTokens}`;
    throw new RequestError("invalid_request", message);
  }
  if (chat.promptTokens > deployment.maxPromptTokens) {
    const message =
      `messages: about ${chat.promptTokens} tokens; shorten them to at most ${deployment.maxPromptTokens}`;
    throw new RequestError("invalid_request", message);
  }
  return requestedTokens;
}
