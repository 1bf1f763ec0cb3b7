/**
 * Turns schema issues into errors that name the file, line, field, value and what to change.
 *
 * @module
 */
import { findNodeAtLocation, type Node, parseTree } from "jsonc-parser";
import { distance } from "fastest-levenshtein";
import type * as z from "zod";

/** One error in a settings file. */
export interface Problem {
  file: string;
  line: number | undefined;
  field: string;
  message: string;
}

/** A text and the file name by which errors refer to it. */
export interface SourceText {
  file: string;
  text: string;
}

const MAX_HINT_DISTANCE = 3;
const MAX_VALUE_CHARS = 60;
const SECRET_FIELD = /key|secret|token$/i;

/** Returns the nearest known name, if one is close enough for the given name to be a misspelling of it. */
export function nearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestDistance = MAX_HINT_DISTANCE + 1;
  for (const candidate of known) {
    const editDistance = distance(name, candidate);
    if (editDistance >= bestDistance) continue;
    best = candidate;
    bestDistance = editDistance;
  }
  return best;
}

/** Returns the 1-based line of an offset in a text. */
export function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}

function findPosition(
  sources: readonly SourceText[],
  path: readonly PropertyKey[],
) {
  const segments = path.map((part) =>
    typeof part === "number" ? part : String(part)
  );
  for (const source of [...sources].reverse()) {
    const tree = parseTree(source.text);
    const node: Node | undefined = tree && findNodeAtLocation(tree, segments);
    if (node) {
      return { file: source.file, line: lineAt(source.text, node.offset) };
    }
  }
  return undefined;
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (inner, part) =>
      (inner as Record<PropertyKey, unknown> | undefined)?.[part],
    value,
  );
}

function describeValue(path: readonly PropertyKey[], value: unknown): string {
  if (SECRET_FIELD.test(String(path.at(-1) ?? ""))) return "a hidden value";
  return (JSON.stringify(value) ?? "nothing").slice(0, MAX_VALUE_CHARS);
}

interface SchemaNode {
  shape?: Record<string, unknown>;
  _zod?: { def?: Record<string, unknown> };
}

// Follows the path through the schema, so that a misspelt field can be compared with its siblings.
function knownFields(schema: unknown, path: readonly PropertyKey[]): string[] {
  let current = unwrap(schema);
  for (const part of path) {
    const definition = (current as SchemaNode)?._zod?.def;
    if (definition?.type === "record") current = unwrap(definition.valueType);
    else if (definition?.type === "array") current = unwrap(definition.element);
    else current = unwrap((current as SchemaNode)?.shape?.[String(part)]);
  }
  const options = (current as SchemaNode)?._zod?.def?.options;
  const shapes = Array.isArray(options) ? options : [current];
  return shapes.flatMap((option) =>
    Object.keys((option as SchemaNode)?.shape ?? {})
  );
}

function unwrap(schema: unknown): unknown {
  let current = schema as SchemaNode | undefined;
  while (current?._zod?.def?.innerType) {
    current = current._zod.def.innerType as SchemaNode;
  }
  return current;
}

function describeUnknownField(key: string, known: readonly string[]): string {
  const nearest = nearestName(key, known);
  return nearest
    ? `unknown field "${key}"; did you mean "${nearest}"?`
    : `unknown field "${key}"; remove it, or use one of: ${known.join(", ")}`;
}

/** Input of {@link describeIssues}. */
export interface IssueContext {
  schema: unknown;
  value: unknown;
  sources: readonly SourceText[];
}

/** Describes schema issues as problems with file, line and field. */
export function describeIssues(
  issues: readonly z.core.$ZodIssue[],
  context: IssueContext,
): Problem[] {
  return issues.flatMap((issue) => {
    if (issue.code === "unrecognized_keys") {
      const known = knownFields(context.schema, issue.path);
      return issue.keys.map((key) =>
        problemAt(
          [...issue.path, key],
          describeUnknownField(key, known),
          context,
        )
      );
    }
    const value = valueAt(context.value, issue.path);
    const message = value === undefined
      ? `missing; add it (${issue.message})`
      : `${describeValue(issue.path, value)} is not valid: ${issue.message}`;
    return [problemAt(issue.path, message, context)];
  });
}

/** Finds a field in the sources, the last one first; where none has it, the nearest field around it. */
export function locateField(
  sources: readonly SourceText[],
  path: readonly PropertyKey[],
): { file: string; line: number } | undefined {
  let location = findPosition(sources, path);
  for (let depth = path.length - 1; !location && depth >= 0; depth--) {
    location = findPosition(sources, path.slice(0, depth));
  }
  return location;
}

function problemAt(
  path: readonly PropertyKey[],
  message: string,
  { sources }: IssueContext,
): Problem {
  const location = locateField(sources, path);
  return {
    file: location?.file ?? sources.at(-1)?.file ?? "settings",
    line: location?.line,
    field: path.map(String).join("."),
    message,
  };
}

/** Formats a problem for people: `file:line: field: message`. */
export function formatProblem(problem: Problem): string {
  const location = problem.line === undefined
    ? problem.file
    : `${problem.file}:${problem.line}`;
  return `${location}: ${problem.field}: ${problem.message}`;
}
