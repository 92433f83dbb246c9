/**
 * TCP paths to some targets that can be partitioned together.
 *
 * A worker thread relays them. To let them hang, the thread is blocked and the accept queues of its listeners are filled:
 * open connections pass nothing in either direction, and the kernel drops the SYN packets of new ones, so that they stay
 * unanswered until they are sent again after the end. Bytes that were sent meanwhile arrive then. Unlike in a real
 * partition, the kernel acknowledges bytes and keep-alive probes on open connections.
 */
import * as events from "node:events";
import * as net from "node:net";
import * as workerThreads from "node:worker_threads";

/** A relayed path: where it listens, and its target. */
export interface RelayedPath {
  readonly host: string;
  readonly port: number;
  /** Host of the target, which has no other target. */
  readonly targetHost: string;
  readonly targetPort: number;
}

/** How paths fail. */
export const PARTITION_MODE = {
  /** Open connections pass nothing, and attempts to connect are not answered. */
  hang: "hang",
  /** Open connections are reset and new ones refused. */
  reset: "reset",
  /** Open connections go on, and new ones are refused. */
  refuse: "refuse",
  /** Open connections go on, and attempts to connect are not answered. */
  stall: "stall",
} as const;

/** One of the values of `PARTITION_MODE`. */
export type PartitionMode = (typeof PARTITION_MODE)[keyof typeof PARTITION_MODE];

/** Data of the worker thread. */
export interface WorkerOptions {
  readonly paths: readonly RelayedPath[];
  /** Whether it refuses connections until it is told to reopen. */
  readonly isRefusing: boolean;
  /** One `Int32`; while it is 1, the thread blocks on a command to block. */
  readonly blocked: SharedArrayBuffer;
}

/** A command to the worker thread. */
export interface WorkerCommand {
  readonly kind: "block" | "refuse" | "reset" | "reopen" | "update";
  /** Hosts of targets that are down; connections to them are refused. */
  readonly downTargets: readonly string[];
}

/** Length of the accept queue of each listener. */
export const BACKLOG = 8;
/** Time limit for filling the accept queues. */
const FILL_LIMIT_MS = 500;

/** A worker thread that relays paths. */
class RelayWorker implements AsyncDisposable {
  readonly #paths: readonly RelayedPath[];
  readonly #blocked = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
  readonly #worker: workerThreads.Worker;

  constructor(paths: readonly RelayedPath[], isRefusing: boolean) {
    this.#paths = paths;
    const workerData: WorkerOptions = {
      paths,
      isRefusing,
      blocked: this.#blocked.buffer,
    };
    const script = new URL("./partition-worker.js", import.meta.url);
    this.#worker = new workerThreads.Worker(script, { workerData });
  }

  /** Waits until the last command was carried out; the start counts as one. */
  async waitForDone(): Promise<void> {
    await events.default.once(this.#worker, "message");
  }

  async send(kind: WorkerCommand["kind"], downTargets: ReadonlySet<string>): Promise<void> {
    const done = this.waitForDone();
    const command: WorkerCommand = { kind, downTargets: [...downTargets] };
    this.#worker.postMessage(command);
    await done;
  }

  /** Blocks the thread, and connects until no listener accepts more. */
  async block(downTargets: ReadonlySet<string>): Promise<void> {
    Atomics.store(this.#blocked, 0, 1);
    await this.send("block", downTargets);
    await this.#fillAcceptQueues();
  }

  unblock(): void {
    Atomics.store(this.#blocked, 0, 0);
    Atomics.notify(this.#blocked, 0);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.unblock();
    await this.#worker.terminate();
  }

  /** Connections stay in the queue of a listener when they are closed. */
  async #fillAcceptQueues(): Promise<void> {
    const sockets = this.#paths.flatMap(({ host, port }) =>
      Array.from({ length: BACKLOG + 1 }, () => net.connect({ host, port })),
    );
    const signal = AbortSignal.timeout(FILL_LIMIT_MS);
    events.default.setMaxListeners(0, signal);
    const settled = sockets.map((socket) =>
      events.default.once(socket, "connect", { signal }).catch(() => undefined),
    );
    await Promise.all(settled);
    for (const socket of sockets) socket.on("error", () => undefined).destroy();
  }
}

/** Paths that can be partitioned together. */
export class PartitionablePaths implements AsyncDisposable {
  readonly #relays: RelayWorker;
  /** Listens, while it is blocked, in place of the relays whose open connections go on. */
  readonly #stalled: RelayWorker;
  readonly #downTargets = new Set<string>();
  #mode: PartitionMode | undefined;

  constructor(paths: readonly RelayedPath[]) {
    this.#relays = new RelayWorker(paths, false);
    this.#stalled = new RelayWorker(paths, true);
  }

  /** Starts the worker threads. */
  static async start(paths: readonly RelayedPath[]): Promise<PartitionablePaths> {
    const started = new PartitionablePaths(paths);
    await Promise.all([started.#relays.waitForDone(), started.#stalled.waitForDone()]);
    return started;
  }

  /** Partitions the paths, until `heal` is called. */
  async cut(mode: PartitionMode): Promise<void> {
    this.#mode = mode;
    await this.#cuts[mode]();
  }

  async heal(): Promise<void> {
    const mode = this.#mode;
    this.#mode = undefined;
    this.#relays.unblock();
    if (mode === PARTITION_MODE.stall) {
      this.#stalled.unblock();
      await this.#stalled.send("reset", this.#downTargets);
    }
    if (mode !== undefined) await this.#relays.send("reopen", this.#downTargets);
  }

  /** Marks a target as down, whose connections are refused, or as up again. */
  async setTargetUp(targetHost: string, isUp: boolean): Promise<void> {
    if (isUp) this.#downTargets.delete(targetHost);
    else this.#downTargets.add(targetHost);
    // A blocked thread applies it once it goes on.
    if (this.#mode !== PARTITION_MODE.hang) await this.#relays.send("update", this.#downTargets);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#relays[Symbol.asyncDispose]();
    await this.#stalled[Symbol.asyncDispose]();
  }

  readonly #cuts: Readonly<Record<PartitionMode, () => Promise<void>>> = {
    hang: () => this.#relays.block(this.#downTargets),
    reset: () => this.#relays.send("reset", this.#downTargets),
    refuse: () => this.#relays.send("refuse", this.#downTargets),
    stall: async () => {
      await this.#relays.send("refuse", this.#downTargets);
      await this.#stalled.send("reopen", this.#downTargets);
      await this.#stalled.block(this.#downTargets);
    },
  };
}
