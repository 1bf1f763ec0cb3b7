/**
 * Decodes what VMs report of themselves, and the platform's list of VMs, on the product's own interface.
 *
 * @module
 */
import type { MemberStatus, VmListing } from "@primroseshed/core";
import * as z from "zod";

/** Longest name, characters. */
const MAX_NAME_CHARS = 256;
/** Largest number of requests, members or accelerators. */
const MAX_COUNT = 1_000_000;
/** Largest time or rate. */
const MAX_MEASURE = 1e9;
const MAX_ADAPTERS = 10_000;

const name = z.string().max(MAX_NAME_CHARS);
const count = z.number().min(0).max(MAX_COUNT);
const measure = z.number().min(0).max(MAX_MEASURE);
const counter = z.number().int().min(0);

function isHttpAddress(text: string): boolean {
  return /^https?:/.test(text) && URL.canParse(text);
}

const statusSchema = z.object({
  vm: name,
  incarnation: name,
  state: z.enum(["empty", "loading", "ready", "leaving"]),
  group: name.optional(),
  epoch: counter.optional(),
  fence: counter.optional(),
  load: z.object({
    running: count,
    queued: count,
    stepMs: measure,
    prefillPerMs: measure,
    kvUsedShare: measure,
    maxBatch: count,
    adapters: z.array(name).max(MAX_ADAPTERS).optional(),
  }).optional(),
});

const listingSchema = z.object({
  vm: name,
  address: z.string().refine(isHttpAddress, "must be http://IP:PORT"),
  zone: name,
  domain: name,
  incarnation: name,
  state: z.enum(["live", "leaving"]),
  role: z.enum(["engine", "service", "entry"]),
  accelerators: count,
});

/**
 * Decodes the status of a VM.
 *
 * @throws {Error} A field is missing or out of its range; the message names it.
 */
export function decodeStatus(value: unknown): MemberStatus {
  return statusSchema.parse(value) as MemberStatus;
}

/** Decodes a list of VMs; an entry that cannot be read is left out, and reported with its place in the list. */
export function decodeVmList(
  value: unknown,
  { onProblem }: { onProblem(place: number, problem: string): void },
): VmListing[] {
  const { vms } = z.object({ vms: z.array(z.unknown()) }).parse(value);
  return vms.flatMap((entry, place) => {
    const decoded = listingSchema.safeParse(entry);
    if (decoded.success) return [decoded.data];
    onProblem(place, decoded.error.message);
    return [];
  });
}
