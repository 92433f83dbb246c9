/**
 * An emulated runner of the users' platform that records each request that reaches it, with the time that it was given and
 * the time for which it worked on it. It can fall silent, and end and start again at the same address.
 */
import * as events from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import type * as budgetCheck from "../retry-budget-check.js";
import * as relays from "../relay.js";
import * as crashing from "./crashing-runner.js";
import * as examples from "./examples.js";
import type * as store from "./store.js";

/** A request that reached a runner. */
export interface ObservedArrival extends budgetCheck.Arrival {
  /** Time that the runner was given, in ms; `undefined` if none was stated. */
  readonly deadlineMs: number | undefined;
  /** Request whose prefill a decode goes on from, if any. */
  readonly handle: string | undefined;
  /** Monotonic time in ms at which the runner ended its work, `undefined` while it works. */
  endedAt: number | undefined;
}

/** Behaviour of a runner. */
export interface ObservedRunnerOptions {
  readonly id: string;
  readonly role: crashing.RunnerRole;
  readonly zone: string;
  readonly host: string;
  /** Work on a plain request. */
  readonly plainWorkMs: number;
  readonly eventCount: number;
  readonly eventPauseMs: number;
  /** Limit on requests per second that its answers name, if they do. */
  readonly limit?: string;
  /** Called when a request that ends its runner begins to run; must end it. */
  readonly onCrash?: () => void;
}

/** Port of the runners, each on an address of its own. */
export const RUNNER_PORT = 9_000;
const SLOTS = 100;
/** Address and handle of a prefill, whose handle names its request. */
const HANDLE_PATTERN = /\/h-(.*)$/;
/** Status of an order while another one is in progress; these runners keep their stage. */
const HTTP_CONFLICT = 409;
/** `health_path` of the services. */
const HEALTH_PATH = "/health";

/** Returns the body of a runner's answer to a plain request. */
export function formatAnswer(call: string, runner: string): string {
  return `answer to ${call} of ${runner}`;
}

/** A runner that listens on an address of its own and is listed in the registry. */
export class ObservedRunner implements AsyncDisposable {
  readonly options: ObservedRunnerOptions;
  readonly #arrivals: ObservedArrival[];
  readonly #sockets = new Set<net.Socket>();
  #server: http.Server | undefined;
  #starts = 0;
  #resumed: Promise<void> = Promise.resolve();

  /** @param arrivals - receives every arrival; shared by all runners of a test. */
  constructor(options: ObservedRunnerOptions, arrivals: ObservedArrival[]) {
    this.options = options;
    this.#arrivals = arrivals;
  }

  /** Starts the process. */
  async start(): Promise<void> {
    this.#starts += 1;
    const server = http.createServer((request, response) => {
      void this.#handle(request, response);
    });
    server.on("connection", (socket: net.Socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    server.listen(RUNNER_PORT, this.options.host);
    await events.default.once(server, "listening");
    this.#server = server;
  }

  /** Lists the runner in the registry, by default as ready. */
  publish(platform: store.StoreStandIn, state = "ready"): void {
    const { id, role, host, zone } = this.options;
    const isPlain = role === crashing.RUNNER_ROLE.plain;
    const changes = isPlain ? {} : { service: "model", stage: role };
    const entry = { ...changes, slots: SLOTS, zone, born: this.#starts, state };
    platform.set(`servers/${id}`, examples.createRunnerEntry(`${host}:${RUNNER_PORT}`, entry));
  }

  /** Ends the process. */
  crash(): void {
    this.#server?.close();
    for (const socket of this.#sockets) relays.resetSocket(socket);
  }

  /** Makes the runner neither answer nor go on with its work for some time. */
  silence(durationMs: number): void {
    this.#resumed = sleep(durationMs);
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.crash();
    return Promise.resolve();
  }

  async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const at = performance.now();
    const body = await crashing.readBody(request).catch(() => undefined);
    await this.#resumed;
    if (request.url === "/-/report") this.#handleReport(request, response);
    else if (request.method === "DELETE") response.end();
    else if (request.url === "/-/order") response.writeHead(HTTP_CONFLICT).end();
    else if (request.url === HEALTH_PATH) response.setHeader("instance-id", this.options.id).end();
    else if (this.#isMisdirected(request)) {
      const headers = { "not-executed": "1", "request-id": String(request.headers["request-id"]) };
      response.writeHead(421, headers).end();
    } else if (body === crashing.CRASHING_BODY) this.#crashUnder(request, at);
    else await this.#run(request, response, at);
  }

  #isMisdirected(request: http.IncomingMessage): boolean {
    return request.headers["expect-instance"] !== this.options.id;
  }

  #handleReport(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { role } = this.options;
    if (this.#isMisdirected(request)) response.writeHead(421).end();
    else if (role === crashing.RUNNER_ROLE.plain) response.writeHead(404).end();
    else {
      const report = { born: this.#starts, stage: role, kv_total: 72_680, runs: [] };
      response.end(JSON.stringify(report));
    }
  }

  #crashUnder(request: http.IncomingMessage, at: number): void {
    this.#arrivals.push(this.#createArrival(request, at));
    this.options.onCrash?.();
  }

  async #run(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    at: number,
  ): Promise<void> {
    const arrival = this.#createArrival(request, at);
    this.#arrivals.push(arrival);
    const markEnded = (): void => {
      arrival.endedAt = performance.now();
    };
    response.once("close", markEnded);
    // The caller may have left while the runner was silent.
    if (response.destroyed) markEnded();
    const { limit } = this.options;
    if (limit !== undefined) response.setHeader("server-limit", limit);
    response.setHeader("request-id", arrival.call);
    response.setHeader("response-stamp", `stamp ${this.options.id}`);
    await this.#answers[this.options.role](arrival.call, request, response);
  }

  #createArrival({ headers }: http.IncomingMessage, at: number): ObservedArrival {
    const deadline = headers["deadline-ms"];
    return {
      call: String(headers["request-id"]),
      service: this.options.role === crashing.RUNNER_ROLE.plain ? "plain" : "model",
      runner: this.options.id,
      at,
      isPrefill: headers["serving-stage"] === "prefill",
      hasRun: true,
      handle: HANDLE_PATTERN.exec(String(headers["kv-source"]))?.[1],
      deadlineMs: deadline === undefined ? undefined : Number(deadline),
      endedAt: undefined,
    };
  }

  readonly #answers: Readonly<
    Record<
      crashing.RunnerRole,
      (call: string, request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>
    >
  > = {
    plain: async (call, _request, response) => {
      await this.#work(this.options.plainWorkMs);
      response.end(formatAnswer(call, this.options.id));
    },
    prefill: async (call, _request, response) => {
      await this.#work(this.options.plainWorkMs);
      response.end(JSON.stringify({ kv_handle: `h-${call}`, tokens: 100, version: 1 }));
    },
    decode: async (_call, request, response) => {
      response.writeHead(200, { "content-type": "text/event-stream" });
      const first = Number(request.headers["last-event-id"] ?? -1) + 1;
      for (let event = first; event < this.options.eventCount; event += 1) {
        if (response.destroyed) return;
        response.write(`id: ${event}\ndata: piece ${event}\n\n`);
        await this.#work(this.options.eventPauseMs);
      }
      response.end();
    },
  };

  async #work(durationMs: number): Promise<void> {
    await sleep(durationMs);
    await this.#resumed;
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
