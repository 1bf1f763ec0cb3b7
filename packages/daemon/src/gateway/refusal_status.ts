/**
 * Maps the refusals of a gateway to HTTP statuses.
 *
 * @module
 */
import type { Verdict } from "@primroseshed/core";
import { STATUS_BY_CODE } from "../http/errors.ts";

const UNAVAILABLE_STATUS = 503;
const GATEWAY_TIMEOUT_STATUS = 504;
const BAD_GATEWAY_STATUS = 502;
const FIXED_STATUSES: Readonly<Record<string, number>> = {
  unknown_route: STATUS_BY_CODE.unknown_route,
  unknown_key: STATUS_BY_CODE.unknown_key,
};

/** Returns the status of an error of the daemon itself; it says "not run" only for a request that never ran. */
export function statusOfRefusal(
  { code, verdict }: { code: string; verdict: Verdict },
): number {
  const fixed = FIXED_STATUSES[code];
  if (fixed !== undefined) return fixed;
  if (verdict === "not_run") return UNAVAILABLE_STATUS;
  return code === "deadline_passed"
    ? GATEWAY_TIMEOUT_STATUS
    : BAD_GATEWAY_STATUS;
}
