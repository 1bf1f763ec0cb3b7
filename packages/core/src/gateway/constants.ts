/**
 * Constants of the gateway's decisions.
 *
 * @module
 */

/**
 * Requests with keys are refused once the configuration is older than this share of the time for which revoked keys may
 * still work; the rest covers requests that are on their way.
 */
export const MAX_KEY_AGE_SHARE = 0.85;
/**
 * A daemon leaves the balancer's rotation once the configuration is older than this share of the time for which revoked
 * keys may still work, so that callers reach a daemon with fresh keys.
 */
export const ROTATION_AGE_SHARE = 0.6;
/** Age of the configuration beyond which a look-up without a result may be out of date, ms. */
export const STALE_LOOKUP_MS = 2_500;
/** Interval of sweeps while requests wait for a free slot, ms. */
export const SWEEP_INTERVAL_MS = 50;
/** Interval of sweeps while requests are in flight, or groups are planned, ms. */
export const BUSY_SWEEP_INTERVAL_MS = 100;
/** Interval of sweeps of an idle daemon, ms. */
export const IDLE_SWEEP_INTERVAL_MS = 250;
/** Share of the latency objective that a request may wait for a free slot. */
export const MAX_WAIT_SHARE = 0.125;
/** Time without an event after which a stream that broke off is given up, ms; callers leave after 2 s of silence. */
export const RESUME_SILENCE_MS = 1_900;
/** Shortest time for which a stream that broke off may wait to be resumed, ms. */
export const MIN_RESUME_WAIT_MS = 1_000;
/** Sends beyond the route's limit of a stream whose runners rejected it, so that it is not cut off for their load. */
export const MAX_REJECTED_SENDS = 2;
/** Delay after which a refused caller should retry, since a slot may be free by then, ms. */
export const RETRY_AFTER_MS = 1_000;
/** Delay after which to retry at a daemon that just started or lost its connection to the store, ms. */
export const NOT_READY_RETRY_AFTER_MS = 500;
/** Parts of a prompt that a log line names. */
export const MAX_LOGGED_PARTS = 8;
/** Remaining time below which a request is not sent again, since no runner can respond in time, ms. */
export const MIN_REMAINING_MS = 20;
/** Share of the output that a caller expects which a request nearly surely needs; estimates are often far off. */
export const SURE_OUTPUT_SHARE = 0.5;
/** A stream that has begun and delivers no byte for this long has stalled, ms. */
export const STREAM_STALL_MS = 600;
/** A runner with open streams that stays silent this long gets no new requests, ms; a decode pass takes about 50 ms. */
export const SUSPECT_SILENCE_MS = 250;
/** A stream without a first event after this many latency objectives has stalled. */
export const FIRST_EVENT_OBJECTIVES = 4;
/** Minimum time allowed for a first event, ms. */
export const MIN_FIRST_EVENT_MS = 900;
/** An idempotent request without a response after this many latency objectives is sent to another runner. */
export const SLOW_RESPONSE_OBJECTIVES = 1.5;
/** Time for which a failed runner gets no new requests, ms; doubles with each consecutive failure. */
export const AVOID_MS = 500;
/** Maximum time for which a failing runner gets no new requests, ms. */
export const MAX_AVOID_MS = 4_000;
/** Time constant with which the weight of a runner's load report decays, ms; a stream lasts about as long. */
export const LOAD_DECAY_MS = 1_600;
/** Age up to which a shared load report counts in full, ms; a stream lasts about as long. */
export const SHARED_REPORT_FRESH_MS = 3_000;
/** Time constant with which the mean load of a kind of runners decays without new reports, ms. */
export const MEAN_LOAD_DECAY_MS = 10_000;
/** Weight of the newest report in the mean load of the runners of one kind. */
export const MEAN_LOAD_WEIGHT = 0.1;
/** Number of daemons assumed to share the groups of a zone before any report has arrived. */
export const ASSUMED_DAEMONS = 3;
/** Requests added to the occupancy of a group in another zone, since traffic between zones costs. */
export const OTHER_ZONE_PENALTY = 4;
/** Exponent of a group's room in its weight for the choice of a group. */
export const ROOM_EXPONENT = 2;
/** Groups that a daemon draws for a request at least, of which the least loaded one is taken. */
export const MIN_ROOM_DRAWS = 2;
/** Groups that a daemon with all requests draws. */
export const MAX_ROOM_DRAWS = 200;
/** Least room of a group that has a free slot, as the choice weighs it, requests. */
export const MIN_ROOM = 0.1;
/** Requests beyond the slots that may queue at a runner for the most urgent priority. */
export const URGENT_QUEUE_REQUESTS = 2;
/** Slots kept free for more urgent requests, for each step of priority. */
export const RESERVED_SLOTS = 1;
/** Share of a request's slack that its wait in a runner's queue may take, where capacity is shared. */
export const QUEUE_SLACK_SHARE = 0.25;
/** Slots of a group that requests leave free for each share that they exceed, where capacity is shared. */
export const OVER_SHARE_RESERVED_SLOTS = 1;
/** Shares that a request can exceed: that of its route, and that of its team. */
export const SHARES = 2;
/** Slots of a group that late requests leave free for those that can still be in time, where capacity is shared. */
export const LATE_RESERVED_SLOTS = 2;
/** Time for which the limit of a runner whose entry is gone is kept, since the entry may come back, ms. */
export const LIMIT_MEMORY_MS = 30_000;
/** Runners that are remembered as leaving; the ones that said so first are forgotten beyond it. */
export const MAX_LEAVING_RUNNERS = 10_000;
/** Longest back-off that a runner may ask for, ms. */
export const MAX_BACKOFF_MS = 3_600_000;
/** Time for which the first request after a back-off goes alone, where it has no answer, ms. */
export const BACKOFF_TRIAL_MS = 500;
/** Part by which daemons and callers spread their return after a back-off. */
export const BACKOFF_JITTER = 0.1;
/** Daemons among which the slack of the retry budget is divided where their number is not known. */
export const MIN_RETRY_DAEMONS = 12;
/** Share of the slack that is used; the rest covers daemons that are not known yet, and delays on the way to runners. */
export const USED_SLACK_SHARE = 0.9;
/** Share of a daemon's part of the slack that it can keep; the rest comes evenly over each window. */
export const KEPT_SLACK_SHARE = 0.6;
/** Interval at which this daemon's share of all requests is measured, ms. */
export const WORK_SHARE_INTERVAL_MS = 500;
/** Weight of the newest measurement of this daemon's share of all requests. */
export const WORK_SHARE_WEIGHT = 0.1;
/** Least urgent value that an engine accepts. */
export const MAX_URGENCY = 9;
/** A stopping daemon keeps serving kept-alive connections for this long, ms: two missed ready checks and a margin. */
export const STOP_LISTEN_MS = 3_500;
/** Time after the stop signal from which on streams are refused, since they may outlast the grace time, ms. */
export const STOP_STREAMS_MS = 2_500;
/** Remaining grace time at which the last requests are ended, ms. */
export const STOP_MARGIN_MS = 600;

/** Time for which a response is left unread after which its runner may cut it without being blamed, ms. */
export const MIN_UNREAD_MS = 1_000;
