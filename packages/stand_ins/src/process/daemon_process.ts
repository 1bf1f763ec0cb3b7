/**
 * Runs a daemon as a process of its own, and reads what it takes of the machine. Linux only.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import process from "node:process";

/** A daemon that runs as a process of its own. */
export interface DaemonProcess {
  /** Returns true until the process has ended. */
  isAlive(): boolean;
  /** Returns the largest resident memory that the process has had, bytes. */
  peakMemory(): number;
  /** Returns the number of open file descriptors. */
  descriptorCount(): number;
  /** Returns the end of what the process has written to its standard output and error. */
  output(): string;
  /** Ends the process at once; resolves once it is gone. */
  kill(): Promise<void>;
}

/** Options of {@link startDaemonProcess}. */
export interface DaemonProcessOptions {
  /** Path of the script. */
  script: string;
  /** Path of the settings file. */
  settings: string;
  /** Limit of the JavaScript heap, MB. */
  heapMb: number;
  /** Other flags of the runtime with which the daemon is deployed. */
  runtimeFlags?: readonly string[];
}

const BYTES_PER_KB = 1_024;
const PEAK_LINE = /^VmHWM:\s+(\d+) kB$/m;
const MAX_OUTPUT_CHARS = 4_000;

function readPeak(pid: number): number {
  // Unlike the pages of `statm`, this needs no page size, and it misses no peak between two readings.
  const [, kilobytes] =
    PEAK_LINE.exec(readFileSync(`/proc/${pid}/status`, "utf8")) ?? [];
  if (kilobytes === undefined) throw new Error("Cannot read peak memory");
  return Number(kilobytes) * BYTES_PER_KB;
}

function hasEnded({ exitCode, signalCode }: ChildProcess): boolean {
  return exitCode !== null || signalCode !== null;
}

/**
 * Starts a daemon.
 *
 * @throws {Error} The operating system is not Linux.
 * @example
 * ```ts
 * const daemon = startDaemonProcess({ script, settings, heapMb: 96 });
 * console.log(daemon.peakMemory());
 * await daemon.kill();
 * ```
 */
export function startDaemonProcess(
  { script, settings, heapMb, runtimeFlags = [] }: DaemonProcessOptions,
): DaemonProcess {
  if (process.platform !== "linux") {
    throw new Error("Cannot measure a process without /proc; run on Linux");
  }
  const child = spawn(process.execPath, [
    `--max-old-space-size=${heapMb}`,
    ...runtimeFlags,
    script,
    "--settings",
    settings,
  ], { stdio: ["ignore", "pipe", "pipe"] });
  const ended = new Promise<void>((resolve) =>
    child.once("close", () => resolve())
  );
  let output = "";
  for (const stream of [child.stdout!, child.stderr!]) {
    stream.setEncoding("utf8");
    stream.on(
      "data",
      (text) => output = (output + text).slice(-MAX_OUTPUT_CHARS),
    );
  }
  return {
    isAlive: () => !hasEnded(child),
    peakMemory: () => readPeak(child.pid!),
    descriptorCount: () => readdirSync(`/proc/${child.pid}/fd`).length,
    output: () => output,
    async kill() {
      if (!hasEnded(child)) child.kill("SIGKILL");
      await ended;
    },
  };
}
