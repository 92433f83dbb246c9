/** Worker thread that relays connections and, while it is blocked, stands for a network that passes nothing. */
import * as net from "node:net";
import * as workerThreads from "node:worker_threads";
import * as paths from "./partitionable-paths.js";
import * as relays from "./relay.js";

const options = workerThreads.workerData as paths.WorkerOptions;
const blockedFlag = new Int32Array(options.blocked);

class RelayListener {
  readonly path: paths.RelayedPath;
  readonly #sockets = new Set<net.Socket>();
  #server: net.Server | undefined;

  constructor(path: paths.RelayedPath) {
    this.path = path;
  }

  async listen(): Promise<void> {
    if (this.#server !== undefined) return;
    const server = net.createServer({ noDelay: true }, (socket) => {
      this.#handleConnection(socket);
    });
    this.#server = server;
    const { host, port } = this.path;
    await new Promise<void>((resolve) => {
      server.listen({ host, port, backlog: paths.BACKLOG }, resolve);
    });
  }

  /** Makes new connections refused; open ones go on. */
  close(): void {
    this.#server?.close();
    this.#server = undefined;
  }

  reset(): void {
    for (const socket of this.#sockets) relays.resetSocket(socket);
  }

  #handleConnection(socket: net.Socket): void {
    this.#add(socket);
    socket.once("data", (first) => {
      const { targetHost, targetPort } = this.path;
      const target = net.connect({ host: targetHost, port: targetPort, noDelay: true });
      this.#add(target);
      target.write(first);
      socket.pipe(target).pipe(socket);
      socket.once("close", () => target.destroy());
      target.once("error", () => {
        relays.resetSocket(socket);
      });
    });
  }

  #add(socket: net.Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => this.#sockets.delete(socket));
  }
}

const listeners = options.paths.map((path) => new RelayListener(path));
const downTargets = new Set<string>();
let { isRefusing } = options;

async function updateListeners(): Promise<void> {
  for (const listener of listeners) {
    if (isRefusing || downTargets.has(listener.path.targetHost)) listener.close();
    else await listener.listen();
  }
}

function reset(): void {
  for (const listener of listeners) listener.reset();
}

const HANDLERS: Readonly<Record<paths.WorkerCommand["kind"], () => void>> = {
  block: () => {
    // The reply is delivered although this thread does not return to its event loop.
    workerThreads.parentPort?.postMessage("done");
    Atomics.wait(blockedFlag, 0, 1);
  },
  refuse: () => {
    isRefusing = true;
  },
  reset: () => {
    isRefusing = true;
    reset();
  },
  reopen: () => {
    isRefusing = false;
  },
  update: () => undefined,
};

workerThreads.parentPort?.on("message", (command: paths.WorkerCommand) => {
  downTargets.clear();
  for (const host of command.downTargets) downTargets.add(host);
  HANDLERS[command.kind]();
  if (command.kind === "block") return;
  void updateListeners().then(() => {
    workerThreads.parentPort?.postMessage("done");
  });
});
await updateListeners();
workerThreads.parentPort?.postMessage("done");
