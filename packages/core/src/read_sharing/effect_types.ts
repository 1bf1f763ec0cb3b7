/**
 * Effects of read sharing.
 *
 * @module
 */
import type { FollowerMessage, UpstreamMessage } from "./types.ts";

/** Every effect of read sharing. */
export type ReadSharingEffect =
  /** Begins to read the whole data from the store and then its changes, or ends it. */
  | { kind: "read_store"; isEnabled: boolean }
  /** Reads the whole list of runners from the store again. */
  | { kind: "reread_runners" }
  /** Connects to the follower listener of a daemon, `IP:PORT`, and polls it. */
  | { kind: "follow_daemon"; node: string; address: string }
  | { kind: "unfollow_daemon"; node: string }
  | { kind: "send_to_upstream"; message: FollowerMessage }
  | {
    kind: "send_to_followers";
    followers: string[];
    message: UpstreamMessage;
  };
