/**
 * Compares two configurations part by part.
 *
 * @module
 */
import type { ChangeKind, FieldChange, PartChange } from "./types.ts";

/** A part of a configuration with the fields that belong to it alone. */
export interface Part<T extends string> {
  type: T;
  fields: Readonly<Record<string, unknown>>;
}

/** Parts of a configuration by type and name. */
export type Parts<T extends string> = Map<string, Part<T>>;

/** What each kind of change does to requests in flight, by type of part. */
export type InFlightEffects<T extends string> = Readonly<
  Record<T, Readonly<Record<ChangeKind, string>>>
>;

/** Fields whose values are never shown. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set([
  "keySha256",
  "keys",
  "usagePublicKeys",
]);

function isEqual(left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

function compareFields(
  from: Readonly<Record<string, unknown>>,
  to: Readonly<Record<string, unknown>>,
): FieldChange[] {
  const fields = [...new Set([...Object.keys(from), ...Object.keys(to)])];
  return fields
    .filter((field) => !isEqual(from[field], to[field]))
    .map((field) =>
      HIDDEN_FIELDS.has(field)
        ? { field, from: "(hidden)", to: "(hidden)" }
        : { field, from: from[field], to: to[field] }
    );
}

function changeKindOf(from: unknown, to: unknown): ChangeKind {
  if (from === undefined) return "added";
  return to === undefined ? "removed" : "changed";
}

/** Lists the parts that differ, removed ones first. */
export function compareParts<T extends string>(
  from: Parts<T>,
  to: Parts<T>,
  { effects, site }: { effects: InFlightEffects<T>; site: string | undefined },
): PartChange[] {
  const names = [...new Set([...from.keys(), ...to.keys()])];
  const changes = names.flatMap((part): PartChange[] => {
    const before = from.get(part);
    const after = to.get(part);
    const { type } = (before ?? after)!;
    const kind = changeKindOf(before, after);
    const fields = before && after
      ? compareFields(before.fields, after.fields)
      : [];
    if (kind === "changed" && fields.length === 0) return [];
    return [{ kind, part, site, fields, inFlight: effects[type][kind] }];
  });
  return changes.toSorted((left, right) =>
    Number(right.kind === "removed") - Number(left.kind === "removed")
  );
}
