/**
 * What the list of VMs says.
 *
 * @module
 */

/** One VM in the list, which lags behind the truth. */
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
