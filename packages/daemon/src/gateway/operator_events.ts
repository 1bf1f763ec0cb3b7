/**
 * Turns reads of what operators have written into events.
 *
 * @module
 */
import type { EventBody } from "@primroseshed/core";
import type { OperatorRecord } from "./adapters.ts";
import type { TopicUpdate } from "./topic_subscription.ts";

/**
 * Returns the events of one read, evacuations first: a daemon that starts then knows them before its first
 * configuration, without which it sends nothing.
 */
export function operatorEvents(
  update: TopicUpdate<OperatorRecord>,
): EventBody[] {
  return [...evacuationEvents(update), routingEvent(update)];
}

function evacuationEvents(
  { records, isWhole, position }: TopicUpdate<OperatorRecord>,
): EventBody[] {
  const inForce = new Map<string, boolean>();
  for (const { value } of records) {
    if (value?.kind === "evacuation") inForce.set(value.zone, value.isInForce);
  }
  const zonesThat = (are: boolean) =>
    [...inForce].filter(([, is]) => is === are).map(([zone]) => zone);
  const evacuated = zonesThat(true);
  if (isWhole) {
    return [{ kind: "evacuations_read", zones: evacuated, position }];
  }
  if (inForce.size === 0) return [];
  const lifted = zonesThat(false);
  return [{ kind: "evacuations_changed", evacuated, lifted, position }];
}

function routingEvent(
  { records, confirmedAt }: TopicUpdate<OperatorRecord>,
): EventBody {
  const documents = records
    .flatMap(({ value }) => value?.kind === "routing" ? value.document : [])
    .sort((left, right) => left.version - right.version);
  const document = documents.at(-1);
  return document === undefined
    ? { kind: "freshness_confirmed", topic: "routing", confirmedAt }
    : { kind: "routing_read", document, confirmedAt };
}
