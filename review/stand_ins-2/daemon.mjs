// Starts the project's daemon as the deploy file does, with settings rendered from the template.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");
const READY_TIMEOUT_MS = 30_000;
/** Bounds of a small deployment, as its sheet names them. */
export const BOUNDS = {
  settleWindowMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  configApplyMs: 2_000,
  revokeMs: 5_000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBudgetSlack: 107,
  stallMs: 6_000,
};

function lookUp(scopes, path) {
  for (const scope of scopes) {
    let value = scope;
    for (const name of path.split(".")) value = value?.[name];
    if (value !== undefined) return value;
  }
  return undefined;
}

/** Fills in a template of the platform: values, JSON values and sections. */
function render(text, fields) {
  return text
    .replace(
      /\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g,
      (_, path, inner) => lookUp([fields], path) ? render(inner, fields) : "",
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, isJson) => {
      const value = lookUp([fields], path);
      if (isJson) return JSON.stringify(value);
      return value === undefined ? "" : String(value);
    });
}

/** Ports of daemons lie below those that outgoing connections get. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 10_000;
let portCount = process.pid * 97;

function canListen(host, port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Returns a free port of an address, another one with each call. */
async function freePort(host) {
  while (true) {
    portCount += 1;
    const port = FIRST_PORT + portCount % PORT_COUNT;
    if (await canListen(host, port)) return port;
  }
}

function deployCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "([^"]+)"/m.exec(text)[1].split(" ");
}

/** Starts a daemon on a loopback address of its own; resolves once it says that it is ready. */
export async function startDaemon(
  {
    name,
    host,
    zone,
    zones,
    storeAddress,
    bounds = {},
    isFirstStart = true,
    onOutput,
  },
) {
  const ports = [];
  for (let index = 0; index < 4; index += 1) ports.push(await freePort(host));
  const fields = {
    nodeName: name,
    ip: host,
    zone,
    zones,
    listen: { front: `${host}:${ports[0]}`, ready: `${host}:${ports[1]}` },
    internalPorts: [ports[2], ports[3]],
    limits: { cores: 1, memoryMb: 350, maxFds: 4_200 },
    platform: { address: storeAddress },
    bounds: { ...BOUNDS, ...bounds },
    bootstrap: isFirstStart,
  };
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const file = join(folder, "settings.jsonc");
  const template = readFileSync(
    join(ROOT, "platform/settings.jsonc.template"),
    "utf8",
  );
  const daemon = {
    name,
    host,
    zone,
    front: ports[0],
    ready: ports[1],
    process: undefined,
    output: [],
    exit: undefined,
    start(isFirst) {
      writeFileSync(file, render(template, { ...fields, bootstrap: isFirst }));
      const [command, ...args] = deployCommand();
      const child = spawn(command, args, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, PRIMROSESHED_BOOT: file },
        stdio: ["ignore", "pipe", "pipe"],
      });
      daemon.process = child;
      daemon.exit = undefined;
      const take = (bytes) => {
        daemon.output.push(bytes.toString());
        onOutput?.(daemon, bytes.toString());
      };
      child.stdout.on("data", take);
      child.stderr.on("data", take);
      child.once("exit", (code, signal) => daemon.exit = { code, signal });
    },
    async isReady() {
      const url = `http://${host}:${ports[1]}/primroseshed/ready`;
      const answer = await fetch(url).catch(() => undefined);
      await answer?.arrayBuffer();
      return answer?.status === 200;
    },
    async untilReady() {
      const until = performance.now() + READY_TIMEOUT_MS;
      while (!await daemon.isReady()) {
        if (performance.now() > until || daemon.exit) {
          throw new Error(`${name} is not ready: ${daemon.output.join("")}`);
        }
        await sleep(20);
      }
    },
    async kill() {
      const { process: child } = daemon;
      if (daemon.exit === undefined) {
        const gone = new Promise((resolve) => child.once("exit", resolve));
        child.kill("SIGKILL");
        await gone;
      }
    },
    async remove() {
      await daemon.kill();
      rmSync(folder, { recursive: true, force: true });
    },
  };
  daemon.start(isFirstStart);
  return daemon;
}
