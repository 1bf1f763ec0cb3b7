/**
 * Constants of the gateway's decisions, in one place.
 *
 * @module
 */

/** Work with keys is refused once the configuration is older than this share of the time that withdrawn keys may work on; the rest is for what is on its way. */
export const STALE_KEYS_SHARE = 0.85;
/** A daemon leaves the balancer's rotation at this share of that time, so that callers go where keys are still known. */
export const ROTATION_SHARE = 0.6;
/** Beyond this age a look-up that finds nothing may be out of date, ms. */
export const STALE_LOOKUP_MS = 2_500;
/** Deliveries are looked over this often, ms. */
export const SWEEP_MS = 50;
/** A caller without a place may wait this share of its latency objective. */
export const WAIT_SHARE = 0.125;
/** Time after which a refused caller may find a place, ms. */
export const RETRY_AFTER_MS = 1_000;
/** Time after which a daemon that just started or lost its store may serve again, ms. */
export const NOT_READY_RETRY_AFTER_MS = 500;
/** Remaining time below which no runner can answer, ms. */
export const LEAST_SEND_MS = 20;
/** An open stream without any byte for this long has stalled, ms. */
export const STREAM_SILENCE_MS = 600;
/** A runner that streams and has sent nothing for this long gets no new work, ms; a decode pass takes about 50 ms. */
export const SUSPECT_SILENCE_MS = 250;
/** A stream without a first event after this many latency objectives has stalled. */
export const FIRST_EVENT_OBJECTIVES = 4;
/** Least wait for a first event, ms. */
export const LEAST_FIRST_EVENT_MS = 900;
/** An idempotent request without an answer after this many objectives is tried elsewhere. */
export const SLOW_ANSWER_OBJECTIVES = 1.5;
/** A runner that failed is left alone for this long, ms; doubles with each failure in a row. */
export const AVOID_MS = 500;
/** Longest time that a failing runner is left alone, ms. */
export const MAX_AVOID_MS = 4_000;
/** Time constant in which a report of a runner's load loses its worth, ms; a stream lasts about as long. */
export const LOAD_MEMORY_MS = 1_600;
/** Time constant in which the mean load of a kind of runners is forgotten without new reports, ms. */
export const MEAN_LOAD_MEMORY_MS = 10_000;
/** Weight of the newest report in the mean load of the runners of one kind. */
export const MEAN_LOAD_WEIGHT = 0.1;
/** Daemons of a zone that share its groups, where no report has come yet. */
export const SHARERS = 3;
/** Places that a group of another zone counts as fuller, since bytes between zones cost. */
export const FAR_PLACES = 4;
/** Requests beyond the slots that may queue at a runner for the most urgent priority. */
export const URGENT_QUEUE = 2;
/** Places kept free for more urgent work, for each step of priority. */
export const RESERVED_PLACES = 1;
/** The slack of the retry budget is divided among this many daemons at least. */
export const RETRY_SHARERS = 12;
/** This daemon's part of all work is measured this often, ms. */
export const WORK_SHARE_MS = 500;
/** Weight of the newest measure of this daemon's part of all work. */
export const WORK_SHARE_WEIGHT = 0.1;
/** Least urgent value that an engine takes. */
export const MAX_URGENCY = 9;
/** A stopping daemon keeps taking kept connections for this long, ms: two missed ready checks and a margin. */
export const STOP_LISTEN_MS = 3_500;
/** A stopping daemon refuses streams this long after the signal, since they may outlive its grace time, ms. */
export const STOP_STREAMS_MS = 2_500;
/** Left of the grace time when the last requests are ended, ms. */
export const STOP_MARGIN_MS = 600;
