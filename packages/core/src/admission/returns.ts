/**
 * Recognizes refused requests that come back, by the hash of their content, so that they are not taken for new ones.
 *
 * A request comes back under a new id, and maybe at another daemon, which does not recognize it. Copies that several
 * callers of one team send are taken for each other.
 *
 * @module
 */
import { tupleKey } from "../util/tuple_key.ts";
import type { Admission, Refused } from "./types.ts";

/** Refused requests that are remembered; the ones that were refused first are forgotten beyond it. */
const MAX_REFUSED = 2_000;

/** Time after the named one up to which a request counts as one that comes back, ms. */
const RETURN_MARGIN_MS = 1_000;

/** What a request is recognized by. */
export interface Identity {
  team: string | undefined;
  /** Undefined where the content is not known. */
  fingerprint: string | undefined;
}

function keyOf({ team, fingerprint }: Identity): string | undefined {
  return fingerprint === undefined ? undefined : tupleKey(team, fingerprint);
}

/** Returns the earlier refusal of a request that comes back while its caller's time lasts. */
export function findRefused(
  { refused }: Admission,
  identity: Identity,
  { now }: { now: number },
): Refused | undefined {
  const key = keyOf(identity);
  if (key === undefined) return undefined;
  const found = refused.get(key);
  if (found === undefined || now >= found.expiresAt) return undefined;
  return now < found.returnAt + RETURN_MARGIN_MS ? found : undefined;
}

/** Records the refusal of a request. */
export function recordRefused(
  { refused }: Admission,
  identity: Identity,
  refusal: Refused,
): void {
  const key = keyOf(identity);
  if (key === undefined) return;
  const earlier = refused.get(key);
  const isSame = earlier !== undefined &&
    refusal.arrivedAt < earlier.expiresAt;
  const arrivedAt = isSame ? earlier.arrivedAt : refusal.arrivedAt;
  refused.delete(key);
  refused.set(key, { ...refusal, arrivedAt });
  if (refused.size <= MAX_REFUSED) return;
  const [oldest] = refused.keys();
  refused.delete(oldest!);
}

/** Forgets a request that has got a slot. */
export function forgetRefused(
  { refused }: Admission,
  identity: Identity,
): void {
  const key = keyOf(identity);
  if (key !== undefined) refused.delete(key);
}
