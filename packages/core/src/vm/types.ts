/**
 * Entries of the platform's VM list.
 *
 * @module
 */

/** One VM in the list, which lags behind the actual state of the VM. */
export interface VmListing {
  vm: string;
  address: string;
  zone: string;
  domain: string;
  incarnation: string;
  state: "live" | "leaving";
  role: "engine" | "service" | "entry";
  accelerators: number;
}
