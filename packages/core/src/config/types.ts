/**
 * Types of the fleet configuration, as resolved with all defaults filled in.
 *
 * @module
 */
import type * as z from "zod";
import type { configSchema, deploymentSchema } from "./schema.ts";

/** The three ranks of work, most urgent first. */
export const RANKS = ["urgent", "standard", "batch"] as const;
/** A rank of work. */
export type Rank = (typeof RANKS)[number];

/** The configuration in force at one site. */
export type Config = z.output<typeof configSchema>;
/** A model deployment or a plain service. */
export type Deployment = z.output<typeof deploymentSchema>;
/** A model served by replica groups. */
export type ModelDeployment = Extract<Deployment, { kind: "model" }>;
/** A service other than a model, reached over plain HTTP. */
export type ServiceDeployment = Extract<Deployment, { kind: "service" }>;
/** Limits of requests and tokens a minute, over all entry VMs together. */
export type RateLimit = {
  requestsPerMinute?: number;
  tokensPerMinute?: number;
};

/** Who sent a request. */
export interface Principal {
  owner: string;
  team: string;
  caller: string;
}

/** A published configuration: a base and an overlay for each site that differs from it. */
export interface ConfigDocument {
  base: unknown;
  overlays: Record<string, unknown>;
}
