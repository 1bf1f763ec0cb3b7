/**
 * Builds, sends and handles the digests that entry VMs exchange, and removes peers that have gone silent.
 *
 * @module
 */
import { refreshPool } from "../capacity/targets.ts";
import { type EntryNeed, shareOf } from "../capacity/share.ts";
import { neededSlots } from "../admission/shed.ts";
import { applyConfig } from "../config/apply.ts";
import { RANKS } from "../config/types.ts";
import type { EventOf } from "../event/types.ts";
import { dumpFold } from "../fold/fold_state.ts";
import { handleFoldRestored } from "../fold/log_reader.ts";
import { markLeaving } from "../health/leaving.ts";
import { listDemands, shareLimits } from "../limit/limits.ts";
import { applyParts } from "../quarantine/mod.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import { perRank } from "../request/types.ts";
import type { Peer, Pool, State } from "../state/types.ts";
import { schedule } from "../util/timer_queue.ts";
import type { Digest, Need, PeerMessage } from "./types.ts";

/** Interval at which shares are recomputed, ms. */
export const SHARE_UPDATE_MS = 250;
/** Shortest time between two changed digests, ms; unchanged ones are sent every {@link DIGEST_IDLE_MS}. */
export const DIGEST_MIN_MS = 500;
/** Longest time for which a live daemon sends its peers no digest, ms. */
export const DIGEST_IDLE_MS = 1_000;
/** Time after its last message for which a peer counts as alive and its own list of live peers is used, ms. */
export const PEER_ALIVE_MS = 2_500;
/** Time without a message from a peer to any daemon after which it is removed and shares are recomputed, ms. */
export const PEER_REMOVAL_MS = 3_000;
/** Share intervals that change by less than this are not updated. */
const MIN_SHARE_CHANGE = 0.004;
/** Largest number of leaving VMs in one digest. */
const MAX_LEAVING = 32;
/** Number of rounding steps between a power of two and the next, so that small changes do not alter a digest. */
const ROUNDING_STEPS = 24;

// Rounds to a step proportional to the value, so that noise does not change every digest.
function round(value: number): number {
  if (value < 0.01) return 0;
  const step = 2 ** Math.floor(Math.log2(value)) / ROUNDING_STEPS;
  return Math.round(value / step) * step;
}

function needOf(state: State, pool: Pool): Need {
  const need = perRank(0);
  for (const rank of RANKS) need[rank] = round(neededSlots(state, pool, rank));
  return need;
}

function listNeeds(state: State): Record<string, Need> {
  const needs: Record<string, Need> = {};
  for (const pool of state.pools.values()) {
    const need = needOf(state, pool);
    if (RANKS.some((rank) => need[rank] > 0)) needs[pool.name] = need;
  }
  return needs;
}

function isAlive(state: State, peer: Peer): boolean {
  return state.now - peer.lastSeenAt <= PEER_ALIVE_MS;
}

function buildDigest(state: State): Omit<Digest, "sequence"> {
  const livePeers = [...state.peers.values()].filter((peer) =>
    isAlive(state, peer)
  );
  return {
    fold: state.fold.next,
    config: state.config?.offset ?? 0,
    draining: state.phase !== "serving",
    needs: listNeeds(state),
    demands: Object.fromEntries(
      Object.entries(listDemands(state)).map((
        [name, value],
      ) => [name, round(value)]),
    ),
    hears: Object.fromEntries(
      livePeers.map(({ name, incarnation }) => [name, incarnation]),
    ),
    leaving: Object.fromEntries([...state.leaving].slice(-MAX_LEAVING)),
  };
}

/** Recomputes shares, and sends the digest if it changed or the last one is old. */
export function* sendDigests(state: State): Effects {
  schedule(state.timers, state.now + SHARE_UPDATE_MS, {
    timer: { kind: "peer_digest" },
  });
  yield* removeSilentPeers(state);
  shareCapacity(state);
  shareLimits(state);
  const body = buildDigest(state);
  const { fold: _fold, ...stable } = body;
  const text = JSON.stringify(stable);
  const ageMs = state.now - state.lastDigest.at;
  const isSame = text === state.lastDigest.text;
  if (ageMs < (isSame ? DIGEST_IDLE_MS : DIGEST_MIN_MS)) return;
  state.lastDigest = { at: state.now, text };
  state.digestSequence += 1;
  const digest: Digest = { ...body, sequence: state.digestSequence };
  for (const peer of state.peers.values()) {
    if (peer.lostAt === undefined) yield send(peer, { kind: "digest", digest });
  }
}

function send(
  { name }: Peer,
  message: PeerMessage,
): { kind: "peer_send"; peer: string; message: PeerMessage } {
  return { kind: "peer_send", peer: name, message };
}

function isAliveToPeers(state: State, peer: Peer): boolean {
  for (const other of state.peers.values()) {
    if (other === peer || !isAlive(state, other)) continue;
    if (other.digest?.hears[peer.name] === peer.incarnation) return true;
  }
  return false;
}

// A peer is removed only if it is silent both to this daemon and to every live peer.
function* removeSilentPeers(state: State): Effects {
  for (const peer of state.peers.values()) {
    const isSilent = state.now - peer.lastSeenAt > PEER_REMOVAL_MS;
    if (!isSilent || isAliveToPeers(state, peer)) continue;
    state.peers.delete(peer.name);
    yield {
      kind: "log",
      event: "peer_lost",
      fields: { peer: peer.name, incarnation: peer.incarnation },
    };
  }
}

function listEntryNeeds(state: State, pool: Pool): EntryNeed[] {
  const entries = [{ entry: state.node.name, need: needOf(state, pool) }];
  for (const { name, digest } of state.peers.values()) {
    if (digest?.draining === true) continue;
    entries.push({ entry: name, need: digest?.needs[pool.name] ?? perRank(0) });
  }
  return entries;
}

/** Recomputes this entry's share of every pool from the needs in the peers' digests. */
export function shareCapacity(state: State): void {
  for (const pool of state.pools.values()) {
    const entries = listEntryNeeds(state, pool);
    const share = shareOf(state.node.name, entries, pool.slots);
    const change = Math.abs(share.low - pool.share.low) +
      Math.abs(share.high - pool.share.high);
    if (change < MIN_SHARE_CHANGE) continue;
    pool.share = share;
    refreshPool(state, pool);
  }
}

/** Handles a peer that connected. */
export function* joinPeer(
  state: State,
  event: EventOf<"peer_joined">,
): Effects {
  const { peer, address, zone, incarnation } = event;
  const known = state.peers.get(peer);
  const isSame = known?.incarnation === incarnation;
  state.peers.set(peer, {
    name: peer,
    address,
    zone,
    incarnation,
    digest: isSame ? known.digest : undefined,
    lastSeenAt: state.now,
    lostAt: undefined,
  });
  state.lastDigest.at = -Infinity;
  if (!isSame) {
    yield {
      kind: "log",
      event: "peer_joined",
      fields: { peer, incarnation, address },
    };
  }
  if (!state.caughtUp) {
    yield { kind: "peer_send", peer, message: { kind: "fold_request" } };
  }
  const records = [...state.quarantine.suspects.values()]
    .map(({ record }) => record);
  if (records.length > 0) {
    yield { kind: "peer_send", peer, message: { kind: "parts", records } };
  }
}

/** Handles a broken connection; the peer keeps its share until it is removed. */
export function disconnectPeer(
  state: State,
  { peer: name, incarnation }: EventOf<"peer_lost">,
): Effects {
  const peer = state.peers.get(name);
  if (peer?.incarnation === incarnation) peer.lostAt = state.now;
  return noEffects();
}

type MessageHandlers = {
  [K in PeerMessage["kind"]]: (
    state: State,
    peer: Peer,
    message: Extract<PeerMessage, { kind: K }>,
  ) => Effects;
};

const MESSAGE_HANDLERS: MessageHandlers = {
  *digest(state, peer, { digest }) {
    if (peer.digest !== undefined && digest.sequence <= peer.digest.sequence) {
      return;
    }
    peer.digest = digest;
    for (const [vm, incarnation] of Object.entries(digest.leaving)) {
      yield* markLeaving(state, vm, incarnation);
    }
    const above = state.config?.offset ?? 0;
    if (digest.config > above) {
      yield send(peer, { kind: "config_request", above });
    }
    if (
      !state.caughtUp && !state.log.reachable && digest.fold > state.fold.next
    ) {
      yield send(peer, { kind: "fold_request" });
    }
  },
  *config_request(state, peer, { above }) {
    const config = state.acceptedConfig;
    if (config !== undefined && config.offset > above) {
      yield send(peer, { kind: "config_answer", config });
    }
  },
  *config_answer(state, _peer, { config }) {
    yield* applyConfig(state, config);
  },
  *parts(state, _peer, { records }) {
    const readings = records.map((record) => ({ record, ageMs: 0 }));
    yield* applyParts(state, readings);
  },
  *fold_request(state, peer) {
    if (state.caughtUp) {
      yield send(peer, { kind: "fold_answer", dump: dumpFold(state.fold) });
    }
  },
  *fold_answer(state, _peer, { dump }) {
    if (state.caughtUp) return;
    yield* handleFoldRestored(state, {
      kind: "fold_restored",
      dump,
      source: "peer",
      at: state.now,
    });
  },
};

/** Handles a message from a peer. */
export function* receiveMessage(
  state: State,
  { peer: name, message }: EventOf<"peer_received">,
): Effects {
  const peer = state.peers.get(name);
  if (peer === undefined) return;
  peer.lastSeenAt = state.now;
  const handler = MESSAGE_HANDLERS[message.kind] as (
    state: State,
    peer: Peer,
    message: PeerMessage,
  ) => Effects;
  yield* handler(state, peer, message);
}
