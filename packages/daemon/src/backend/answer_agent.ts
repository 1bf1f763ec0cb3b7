/**
 * Creates HTTP agents that fail a request where what its server sends is no answer in HTTP.
 *
 * The HTTP client checks its own state with assertions that bytes of a server can break: a status that HTTP does not
 * define, a switch of protocols that nobody asked for, or a chunked body that ends within the name of a trailer. Each
 * would leave the request without an end, or end the process. The agents end such requests before the client does.
 *
 * @module
 */
import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { Agent, buildConnector, type Dispatcher } from "undici";
import VError from "verror";
import { RESET_CODE, watchReset } from "./reset_watch.ts";

/** Name of the error of an answer with a status that HTTP does not define, or that nobody has asked for. */
export const STATUS_UNDEFINED = "StatusUndefinedError";
/** Name of the error of an answer whose connection ended before it was complete. */
export const ANSWER_CUT_OFF = "AnswerCutOffError";

/** Opens a connection. It returns the socket that is connecting, which the type of the client's connectors leaves out. */
export type Connect = (...args: Parameters<buildConnector.connector>) => Socket;

/** Options of {@link createAnswerAgent}. */
export interface AnswerAgentOptions extends Omit<Agent.Options, "connect"> {
  /** Opens connections; sockets of the operating system by default. */
  connect?: buildConnector.connector;
}

const FIRST_STATUS = 100;
const SWITCHING_PROTOCOLS = 101;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/**
 * Returns whether an answer may have this status where no change of protocol was asked for.
 *
 * @example
 * ```ts
 * isAnswerStatus(503); // true
 * isAnswerStatus(700); // false
 * ```
 */
export function isAnswerStatus(status: number): boolean {
  return status >= FIRST_STATUS && status <= LAST_STATUS &&
    status !== SWITCHING_PROTOCOLS;
}

/** Answer to a request that was sent on a connection. */
interface Answer {
  /** True from its final head until it is complete or has failed. */
  isOpen: boolean;
  /** True where its end is known without the end of its connection. */
  isFramed: boolean;
  /** Has the client read on where its reader has paused it. */
  resume?(): void;
}

/** Answer to the last request that was sent on each connection. */
const answers = new WeakMap<Socket, Answer>();
/** Answer to the request that the client writes at this moment. */
let sending: Answer | undefined;

// The client tells on this channel alone which connection a request takes.
subscribe("undici:client:sendHeaders", (message) => {
  if (sending === undefined) return;
  answers.set((message as { socket: Socket }).socket, sending);
  sending = undefined;
});

/** Headers that tell the end of a body without the end of its connection. */
const FRAMING_HEADERS = ["transfer-encoding", "content-length"];

/** Returns true if the end of a body is known without the end of its connection. */
export function isFramed(headers: Record<string, unknown>): boolean {
  return FRAMING_HEADERS.some((name) => headers[name] !== undefined);
}

/** As {@link isFramed}, for headers as they came: names and values alternating. */
function hasFraming(received: readonly Buffer[]): boolean {
  return received.some((name, index) =>
    index % 2 === 0 &&
    FRAMING_HEADERS.some((framing) =>
      name.length === framing.length &&
      name.toString("latin1").toLowerCase() === framing
    )
  );
}

function createCutError(cause?: Error): Error {
  const message = "Connection ended before the answer was complete";
  return cause === undefined
    ? new VError({ name: ANSWER_CUT_OFF }, message)
    : new VError({ name: ANSWER_CUT_OFF, cause }, message);
}

/** Passes the client's events on, and ends the request where an answer has an undefined status. */
function watchAnswer(
  handler: Dispatcher.DispatchHandler,
): Dispatcher.DispatchHandler {
  const answer: Answer = { isOpen: false, isFramed: false };
  let abort: ((reason: Error) => void) | undefined;
  let hasFailed = false;

  return {
    onConnect(abortRequest) {
      abort = abortRequest;
      // The handler may have other requests sent, so that this one is named last.
      handler.onConnect?.(abortRequest);
      if (!hasFailed) sending = answer;
    },
    onUpgrade: (...args) => handler.onUpgrade?.(...args),
    onResponseStarted: () => handler.onResponseStarted?.(),
    onBodySent: (...args) => handler.onBodySent?.(...args),
    onHeaders(status, headers, resume, text) {
      if (!isAnswerStatus(status)) {
        abort?.(
          new VError(
            { name: STATUS_UNDEFINED, info: { status } },
            "Answer has the status %d, which HTTP does not define",
            status,
          ),
        );
        return false;
      }
      if (status >= FIRST_FINAL_STATUS) {
        answer.isOpen = true;
        answer.isFramed = hasFraming(headers);
        answer.resume = resume;
      }
      return handler.onHeaders?.(status, headers, resume, text) ?? true;
    },
    onData: (chunk) => handler.onData?.(chunk) ?? true,
    onComplete(trailers) {
      answer.isOpen = false;
      handler.onComplete?.(trailers);
    },
    onError(error) {
      hasFailed = true;
      answer.isOpen = false;
      if (sending === answer) sending = undefined;
      handler.onError?.(error);
    },
  };
}

/**
 * Makes the end of a connection an error where it does not complete an answer.
 *
 * The client takes an answer for complete where its connection is reset, or closed although the answer names its framing,
 * and asserts that no trailer has begun.
 */
function watchEnd(socket: Socket): void {
  watchReset(socket);
  const emit = socket.emit.bind(socket) as (
    event: string,
    ...args: unknown[]
  ) => boolean;

  function emitEnd(): boolean {
    const answer = answers.get(socket);
    // All bytes have been read; a client that was paused at the last ones has yet to find the answer complete.
    if (answer?.isOpen && answer.isFramed) answer.resume?.();
    if (!answer?.isOpen || !answer.isFramed) return emit("end");
    socket.destroy(createCutError());
    return true;
  }

  function emitError(error: unknown): boolean {
    const isReset = (error as NodeJS.ErrnoException).code === RESET_CODE;
    return emit("error", isReset ? createCutError(error as Error) : error);
  }

  const emitters = new Map<string, (argument: unknown) => boolean>([
    ["end", emitEnd],
    ["error", emitError],
  ]);
  socket.emit = (event: string, ...args: unknown[]) =>
    emitters.get(event)?.(args[0]) ?? emit(event, ...args);
}

class AnswerAgent extends Agent {
  override dispatch(
    options: Agent.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, watchAnswer(handler));
  }
}

/**
 * Creates an agent whose requests fail where an answer has an undefined status, or ends before it is complete.
 *
 * @example
 * ```ts
 * const agent = createAnswerAgent({ pipelining: 1, connect: createConnect() });
 * ```
 */
export function createAnswerAgent(
  { connect = createConnect(), ...options }: AnswerAgentOptions,
): Agent {
  return new AnswerAgent({
    ...options,
    connect(target, callback) {
      connect(target, (...result) => {
        const [, socket] = result;
        if (socket) watchEnd(socket);
        callback(...result);
      });
    },
  });
}

/** Creates the function that opens sockets of the operating system; by default it waits for a connection without limit. */
export function createConnect(
  options: buildConnector.BuildOptions = {},
): Connect {
  return buildConnector({ timeout: 0, ...options }) as Connect;
}
