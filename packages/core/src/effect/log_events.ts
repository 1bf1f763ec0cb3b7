/**
 * Catalogue of log events. Each has a stable number that is never reused.
 *
 * @module
 */

/** Severity of a log event. */
export type Severity = "error" | "warn" | "info";

/** One numbered log event. */
export interface LogEvent {
  number: number;
  severity: Severity;
  text: string;
}

function event(number: number, severity: Severity, text: string): LogEvent {
  return { number, severity, text };
}

/** Log events by name. */
export const LOG_EVENTS = {
  started: event(1001, "info", "daemon started"),
  ready: event(1002, "info", "daemon ready"),
  stopping: event(1003, "info", "graceful stop started"),
  stop_hurried: event(1004, "warn", "second stop signal, stopping at once"),
  stopped: event(1005, "info", "daemon stopped"),
  settings_invalid: event(1006, "error", "settings are not valid"),
  not_ready: event(1007, "warn", "daemon not ready"),
  loop_late: event(1008, "warn", "event loop was late"),
  response_given_up: event(
    1126,
    "warn",
    "response given up, since all responses together hold too many bytes",
  ),
  caught_up: event(1009, "info", "caught up after a late turn"),
  deferred_dropped: event(
    1125,
    "info",
    "request dropped whose caller left while the event loop was late",
  ),
  followers_behind: event(
    1615,
    "warn",
    "followers have left many bytes unread",
  ),
  intake_given_up: event(1636, "warn", "unfinished request given up"),
  intake_paused: event(1637, "warn", "bodies of callers are not read"),
  intake_resumed: event(1638, "info", "bodies of callers are read again"),
  connections_short: event(
    1639,
    "warn",
    "connections closed, since there are too many",
  ),
  answer_unread: event(
    1640,
    "warn",
    "answer broken off, since its caller leaves too many bytes unread",
  ),
  request_ended: event(1101, "info", "request ended"),
  request_refused: event(1102, "info", "request refused"),
  request_malformed: event(1103, "warn", "malformed request"),
  key_unknown: event(1104, "warn", "request with an unknown key"),
  attempt_failed: event(1105, "warn", "attempt at a backend server failed"),
  stream_resumed: event(1106, "info", "stream resumed on another group"),
  stream_lost: event(1107, "error", "stream ended with an error"),
  part_suspected: event(1117, "warn", "part of a prompt suspected of a crash"),
  part_quarantined: event(1118, "warn", "part of a prompt quarantined"),
  part_cleared: event(1119, "info", "part of a prompt cleared of suspicion"),
  part_tried: event(1120, "info", "quarantined part of a prompt is tried"),
  resume_waits: event(1116, "info", "broken stream waits for a free slot"),
  request_forwarded: event(
    1121,
    "info",
    "request of another daemon sent to a runner",
  ),
  forward_refused: event(1122, "info", "request of another daemon refused"),
  request_relayed: event(
    1123,
    "info",
    "request sent through another daemon, own path lost",
  ),
  answer_unwritable: event(
    1124,
    "warn",
    "answer has a header that cannot be written",
  ),
  request_sent: event(1111, "info", "request sent to a runner"),
  batch_preempted: event(
    1108,
    "info",
    "batch request preempted by more urgent work",
  ),
  frame_broken: event(1109, "warn", "engine sent a malformed frame"),
  answer_foreign: event(
    1110,
    "error",
    "engine sent a response to another request",
  ),
  target_serving: event(1201, "info", "target is serving"),
  target_suspect: event(1202, "warn", "target is suspect"),
  target_gone: event(1203, "warn", "target is gone"),
  target_draining: event(1204, "info", "target is draining"),
  target_ejected: event(1205, "warn", "target ejected as an outlier"),
  target_probing: event(1206, "info", "ejected target is being probed"),
  ejection_capped: event(1207, "warn", "ejection skipped, cap reached"),
  vm_leaving: event(1208, "info", "VM is leaving"),
  target_pending: event(1210, "info", "target is waiting for its members"),
  runner_changed: event(1211, "info", "runner changed"),
  runner_gone: event(1212, "warn", "runner no longer listed"),
  runner_silent: event(
    1213,
    "warn",
    "runner does not respond to status checks",
  ),
  runner_limited: event(1214, "warn", "runner names a limit on its requests"),
  runner_unlimited: event(1215, "info", "runner names no limit any more"),
  runner_entry_ignored: event(1216, "info", "outdated entry of a runner"),
  runner_backoff: event(1219, "info", "runner wants no requests for a while"),
  runner_leaves: event(1220, "info", "runner says that it leaves"),
  path_lost: event(1217, "warn", "own path to the runners of a service lost"),
  path_regained: event(
    1218,
    "info",
    "own path to the runners of a service regained",
  ),
  cache_gap: event(1209, "info", "gap in cache events"),
  config_in_force: event(1301, "info", "configuration in force"),
  routing_in_force: event(1309, "info", "routing configuration in force"),
  belief_lost: event(1310, "warn", "store unreachable, cached data is ageing"),
  belief_regained: event(1311, "info", "store reachable again"),
  entry_unreadable: event(1312, "warn", "unreadable entry ignored"),
  clock_jumped: event(
    1313,
    "warn",
    "clocks drifted apart, cached data invalidated",
  ),
  config_void: event(1302, "warn", "configuration record rejected"),
  record_void: event(1303, "warn", "log record rejected"),
  log_unreachable: event(1304, "error", "log service unreachable"),
  log_reachable: event(1305, "info", "log service reachable again"),
  log_trimmed: event(1306, "warn", "log trimmed past this daemon, reloading"),
  fold_restored: event(1307, "info", "folded state restored"),
  level_unsupported: event(
    1308,
    "error",
    "log needs a newer version of this daemon",
  ),
  lease_taken: event(1401, "info", "lease acquired"),
  lease_lost: event(1402, "warn", "lease lost"),
  lease_released: event(1406, "info", "lease released"),
  duty_taken: event(1407, "info", "group planner leadership acquired"),
  duty_lost: event(1408, "warn", "group planner leadership lost"),
  planning_paused: event(
    1410,
    "warn",
    "groups not planned, store came back from an older copy",
  ),
  order_sent: event(1409, "info", "order sent to a runner"),
  model_capacity: event(1411, "info", "groups and demand of a model"),
  group_retired: event(
    1412,
    "info",
    "group gives its runners to a larger model",
  ),
  order_dropped: event(1403, "warn", "order dropped, lease no longer held"),
  group_planned: event(1404, "info", "replica group change planned"),
  order_failed: event(1405, "warn", "order to an engine failed"),
  claim_lost: event(1501, "info", "idempotency key was claimed elsewhere"),
  claim_unknown: event(1502, "warn", "outcome of a log append is unknown"),
  peer_joined: event(1601, "info", "peer joined"),
  peer_lost: event(1602, "warn", "peer lost"),
  upstream_followed: event(1605, "info", "store data is taken from a daemon"),
  upstream_left: event(1606, "info", "daemon no longer followed"),
  store_reading_began: event(1607, "info", "store is read by this daemon"),
  store_reading_ended: event(1608, "info", "store is no longer read"),
  daemon_unregistered: event(
    1609,
    "warn",
    "registration in the store failed",
  ),
  parts_unshared: event(
    1610,
    "warn",
    "records of prompt parts could not be written",
  ),
  store_restored: event(
    1611,
    "warn",
    "store was replaced by an older copy of itself",
  ),
  timeline_began: event(
    1612,
    "warn",
    "store has begun a new timeline, lost data is written again",
  ),
  floor_unrecorded: event(1613, "warn", "floor of the timeline not written"),
  forwarder_avoided: event(
    1614,
    "warn",
    "daemon did not forward a request",
  ),
  request_waits: event(1626, "info", "request waits for a free slot"),
  capacity_refused: event(
    1627,
    "info",
    "request refused for want of a free slot",
  ),
  minimum_share_used: event(
    1628,
    "info",
    "request started on the minimum share of its priority",
  ),
  zone_counts_outdated: event(
    1629,
    "info",
    "counts of the zone are out of date, own counts are used",
  ),
  request_returned: event(
    1630,
    "info",
    "request that a runner turned away waits again",
  ),
  zone_evacuated: event(
    1621,
    "warn",
    "availability zone evacuated, its runners get no requests",
  ),
  evacuation_lifted: event(1622, "info", "evacuation of a zone lifted"),
  evacuation_retained: event(
    1623,
    "warn",
    "evacuation kept that the restored store does not list",
  ),
  runner_slow: event(1631, "warn", "runner is slower than others"),
  runner_not_slow: event(1632, "info", "runner is no longer slower"),
  runner_ejected: event(1633, "warn", "runner gets no requests for a while"),
  runner_readmitted: event(1634, "info", "runner gets requests again"),
  runner_eject_capped: event(
    1635,
    "warn",
    "runner not ejected, since too many are",
  ),
  runner_cold: event(1616, "info", "runner is cold"),
  runner_warm: event(1617, "info", "runner is warm"),
  zone_cold: event(
    1618,
    "info",
    "runners count as cold since the evacuation of their zone was lifted",
  ),
  request_hedged: event(1643, "info", "slow request sent a second time"),
  hedge_settled: event(1644, "info", "first response of a hedged request"),
  hedge_denied: event(1645, "info", "slow request not sent a second time"),
  config_findings: event(
    1646,
    "warn",
    "routing configuration in force has findings",
  ),
  peer_refused: event(1603, "warn", "peer refused"),
  peer_frame_dropped: event(1604, "warn", "peer frame dropped"),
  usage_published: event(1701, "info", "usage published"),
  lines_left_out: event(1803, "warn", "log lines dropped"),
  settings_reloaded: event(1802, "info", "settings reloaded"),
  keys_reloaded: event(1801, "info", "keys reloaded"),
  internal_error: event(1901, "error", "internal error"),
} as const satisfies Record<string, LogEvent>;
