/**
 * A runner's response as far as it has arrived.
 *
 * @module
 */
import type { Attempt } from "../backend/transport.ts";
import type { ResponseHeaders, ResponseMetadata } from "./adapters.ts";
import type { BufferShare } from "./buffer_budget.ts";
import type { EventSplitter } from "./event_splitter.ts";

/** Response to one attempt. */
export interface UpstreamResponse {
  number: number;
  /** True where it comes through another daemon. */
  isForwarded: boolean;
  isStream: boolean;
  /** True where its connection may have carried another request before. */
  isKept: boolean;
  attempt: Attempt | undefined;
  status: number;
  headers: ResponseHeaders;
  /** Headers that its caller gets. */
  relayedHeaders: ResponseHeaders;
  metadata: ResponseMetadata | undefined;
  chunks: Buffer[];
  size: number;
  share: BufferShare;
  splitter: EventSplitter;
  /** True once a whole event has arrived. */
  hasEvents: boolean;
}
