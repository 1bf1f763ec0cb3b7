// A proxy on loopback whose connections can be cut, refused, reset or made silent.
import { connect, createServer } from "node:net";

/** Starts a proxy to `target` (`IP:PORT`). */
export async function startProxy(target, host = "127.0.0.1") {
  const [targetHost, targetPort] = target.split(":");
  const links = new Set();
  let port = 0;
  let server;
  const proxy = {
    address: "",
    /** True while the path is cut: connections carry nothing, and new ones are accepted and carry nothing. */
    isCut: false,
    /** Silences the connections that are open now for good; new ones work. Returns their number. */
    silence() {
      let count = 0;
      for (const link of links) {
        if (!link.isSilent) count += 1;
        link.isSilent = true;
        link.hold();
      }
      return count;
    },
    cut() {
      proxy.isCut = true;
      for (const link of links) link.hold();
    },
    /** Refuses new connections; those that are open live on. */
    refuse() {
      server?.close();
      server = undefined;
    },
    /** Resets the open connections and refuses new ones. */
    reset() {
      proxy.refuse();
      for (const link of links) link.reset();
    },
    /** Ends the cut. */
    async heal() {
      proxy.isCut = false;
      for (const link of links) link.flow();
      if (server === undefined) await listen();
    },
    stop() {
      server?.close();
      for (const link of links) link.end();
    },
  };

  function accept(near) {
    const far = connect({
      port: Number(targetPort),
      host: targetHost,
      localAddress: host,
    });
    const link = {
      isSilent: false,
      hold() {
        near.pause();
        far.pause();
      },
      flow() {
        if (link.isSilent) return;
        near.resume();
        far.resume();
      },
      reset() {
        near.resetAndDestroy();
        far.resetAndDestroy();
      },
      end() {
        near.destroy();
        far.destroy();
      },
    };
    links.add(link);
    const isHeld = () => proxy.isCut || link.isSilent;
    function join(from, to) {
      from.on("data", (bytes) => to.write(bytes));
      from.on("end", () => to.end());
      from.on("error", (error) => {
        if (error.code === "ECONNRESET") to.resetAndDestroy();
        else to.destroy();
      });
      from.on("close", () => {
        if (isHeld()) return;
        links.delete(link);
        to.destroy();
      });
    }
    join(near, far);
    join(far, near);
    if (isHeld()) link.hold();
  }

  async function listen() {
    const next = createServer({ allowHalfOpen: true }, accept);
    await new Promise((resolve, reject) => {
      next.once("error", reject);
      next.listen(port, host, resolve);
    });
    server = next;
    ({ port } = next.address());
  }

  await listen();
  proxy.address = `${host}:${port}`;
  return proxy;
}
