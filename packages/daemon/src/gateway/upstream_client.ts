/**
 * Follows another daemon: connects to it, polls it, and passes on what it sends as events.
 *
 * @module
 */
import {
  type Evacuations,
  type EventBody,
  type FollowerMessage,
  LATE_POLL_INTERVAL_MS,
  type LogEventName,
  type LogPosition,
  type PartReading,
  POLL_INTERVAL_MS,
  pollDelayOf,
  READ_SHARING_VERSION,
  type ReadTimes,
  type UpstreamMessage,
} from "@primroseshed/core";
import { type RawData, WebSocket } from "ws";
import { startPatientTimer } from "../driver/patient_timer.ts";
import { monotonicNow } from "../driver/driver.ts";
import {
  decodeUpstreamFrame,
  encodeFrame,
  MAX_SHARING_FRAME_BYTES,
} from "./sharing_frames.ts";

/** Options of {@link createUpstreamClient}. */
export interface UpstreamClientOptions {
  /** Time within which a connection must be made, ms. */
  connectTimeoutMs: number;
  /** Returns the position in the store up to which changes of runners are known. */
  runnersPosition(): LogPosition;
  readTimes: ReadTimes;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** Client of the daemon that this daemon follows. */
export interface UpstreamClient {
  /** Follows a daemon, and no other one. */
  follow(node: string, address: string): void;
  unfollow(): void;
  /** Sends a message to the daemon that is followed, if it is connected. */
  send(message: FollowerMessage): void;
}

/** Creates the client. */
export function createUpstreamClient(
  { connectTimeoutMs, runnersPosition, readTimes, dispatch, log }:
    UpstreamClientOptions,
): UpstreamClient {
  let current: WebSocket | undefined;

  function follow(node: string, address: string): void {
    unfollow();
    const socket = new WebSocket(`ws://${address}`, {
      maxPayload: MAX_SHARING_FRAME_BYTES,
      perMessageDeflate: false,
    });
    current = socket;
    let pollCount = 0;
    let timer: NodeJS.Timeout | undefined;
    const sentAt = new Map<number, number>();
    const handshake = startPatientTimer(
      connectTimeoutMs,
      () => lose("Opening handshake has timed out"),
    );

    function schedulePoll(delayMs: number): void {
      clearTimeout(timer);
      timer = setTimeout(poll, delayMs);
    }

    function poll(): void {
      schedulePoll(POLL_INTERVAL_MS);
      pollCount += 1;
      sentAt.set(pollCount, monotonicNow());
      socket.send(encodeFrame({
        kind: "poll",
        version: READ_SHARING_VERSION,
        poll: pollCount,
        runnersPosition: runnersPosition(),
      }));
    }

    const handlers: {
      [K in UpstreamMessage["kind"]]: (
        message: Extract<UpstreamMessage, { kind: K }>,
      ) => void;
    } = {
      snapshot(
        {
          routing,
          runners,
          runnersPosition: position,
          daemons,
          parts,
          ...rest
        },
      ) {
        dispatch({ kind: "upstream_began", node });
        passEvacuations(rest.evacuations);
        if (routing !== undefined) passRouting(routing);
        passRunners({ runners, removedIds: [], isWhole: true, position });
        passDaemons(daemons);
        passParts(parts);
      },
      routing: ({ document }) => passRouting(document),
      runners: (
        { runners, removedIds, departedIds, runnersPosition: position },
      ) =>
        passRunners({
          runners,
          removedIds,
          departedIds,
          isWhole: false,
          position,
        }),
      daemons: ({ daemons }) => passDaemons(daemons),
      parts: ({ readings }) => passParts(readings),
      suspects: ({ runners }) =>
        dispatch({ kind: "suspects_reported", runners }),
      limits: ({ kind: _, ...reports }) =>
        dispatch({ kind: "limits_reported", ...reports }),
      poll_answer({ poll: answered, ...answer }) {
        const pollSentAt = sentAt.get(answered);
        if (pollSentAt === undefined) return;
        for (const each of sentAt.keys()) {
          if (each <= answered) sentAt.delete(each);
        }
        schedulePoll(
          answer.isReader
            ? pollDelayOf(answer, readTimes)
            : LATE_POLL_INTERVAL_MS,
        );
        passEvacuations(answer.evacuations);
        dispatch({
          kind: "upstream_answered",
          node,
          sentAt: pollSentAt,
          isReader: answer.isReader,
          timeline: answer.timeline,
          routingAgeMs: answer.routingAgeMs,
          runnersAgeMs: answer.runnersAgeMs,
        });
      },
    };

    function handleFrame(data: RawData): void {
      if (current !== socket) return;
      let message: UpstreamMessage;
      try {
        message = decodeUpstreamFrame(data);
      } catch (error) {
        log("peer_frame_dropped", {
          upstream: node,
          cause: (error as Error).message,
        });
        return lose("malformed frame");
      }
      (handlers[message.kind] as (message: UpstreamMessage) => void)(message);
    }

    function lose(cause: string): void {
      handshake.clear();
      clearTimeout(timer);
      socket.terminate();
      if (current !== socket) return;
      current = undefined;
      dispatch({ kind: "upstream_lost", node, cause });
    }

    socket.on("open", () => {
      handshake.clear();
      if (current !== socket) return socket.terminate();
      poll();
    });
    socket.on("message", handleFrame);
    socket.on("error", (error) => lose(error.message));
    socket.on("close", () => lose("closed"));
  }

  function passEvacuations(evacuations: Evacuations | undefined): void {
    if (evacuations === undefined) return;
    dispatch({ kind: "evacuations_read", ...evacuations });
  }

  function passRouting(
    document: Extract<EventBody, { kind: "routing_read" }>["document"],
  ): void {
    dispatch({ kind: "routing_read", document, confirmedAt: undefined });
  }

  function passRunners(
    read: Omit<
      Extract<EventBody, { kind: "runners_read" }>,
      "kind" | "confirmedAt"
    >,
  ): void {
    dispatch({ kind: "runners_read", ...read, confirmedAt: undefined });
  }

  function passDaemons(
    daemons: Extract<EventBody, { kind: "daemons_read" }>["daemons"],
  ): void {
    dispatch({
      kind: "daemons_read",
      daemons,
      isWhole: false,
      isPassedOn: true,
    });
  }

  function passParts(readings: PartReading[]): void {
    if (readings.length > 0) dispatch({ kind: "parts_read", readings });
  }

  function unfollow(): void {
    const socket = current;
    current = undefined;
    socket?.terminate();
  }

  return {
    follow,
    unfollow,
    send(message) {
      if (current?.readyState !== WebSocket.OPEN) return;
      current.send(encodeFrame(message));
    },
  };
}
