/**
 * Probes whether this daemon reaches a backend server.
 *
 * @module
 */
import { startPatientTimer } from "../driver/patient_timer.ts";
import type { Connect } from "./answer_agent.ts";

/**
 * Opens a connection to `address`, `IP:PORT`, and closes it; resolves to whether it was established in time.
 *
 * A kept connection would say nothing: it may live on after the path for new ones is lost.
 */
export function probePath(
  address: string,
  { connect, timeoutMs }: { connect: Connect; timeoutMs: number },
): Promise<boolean> {
  const [hostname, port] = address.split(":") as [string, string];
  return new Promise((resolve) => {
    const options = { hostname, port, protocol: "http:" };
    let socket: ReturnType<Connect> | undefined;
    const end = (isReachable: boolean) => {
      timer.clear();
      socket?.destroy();
      resolve(isReachable);
    };
    const timer = startPatientTimer(timeoutMs, () => end(false));
    try {
      socket = connect(options, (...[error]) => end(error === null));
    } catch {
      // An address that cannot be connected to is not reachable; the reducer logs what follows.
      end(false);
    }
  });
}
