/**
 * An emulated runner of the users' platform that ends when it begins to run a request with a given body or prompt part,
 * and starts again some time later. It keeps its registry entry up to date and records every arrival of such requests.
 */
import * as events from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import * as processes from "../processes.js";
import * as relays from "../relay.js";
import * as examples from "./examples.js";
import type * as store from "./store.js";

/** Body of the request that ends its runners. */
export const CRASHING_BODY = "crash";
/** Id of the prompt part that ends runners if it is not the last part of a prompt. */
export const CRASHING_PART = "dead";

/**
 * How a runner ends: it resets its connections, first falls silent, or is ended behind a forwarder that goes on to accept
 * connections and resets each.
 */
export const CRASH_MODE = { reset: "reset", silent: "silent", forwarded: "forwarded" } as const;

/** Roles of a runner. */
export const RUNNER_ROLE = { plain: "plain", prefill: "prefill", decode: "decode" } as const;

/** One of the values of `RUNNER_ROLE`. */
export type RunnerRole = (typeof RUNNER_ROLE)[keyof typeof RUNNER_ROLE];

/** Behaviour of a crashing runner. */
export interface CrashBehaviour {
  readonly mode: (typeof CRASH_MODE)[keyof typeof CRASH_MODE];
  /** Role whose runners the request ends; others serve it. */
  readonly crashingRole: RunnerRole;
  /** Time from the end of a process to its next start. */
  readonly restartMs: number;
  /** Whether a restarted runner keeps its id; otherwise it registers under a new one. */
  readonly keepsId: boolean;
  /** Number of events in a complete stream. */
  readonly eventCount?: number;
  /** Whether a decode runner sends an event before it ends. */
  readonly sendsEvent?: boolean;
  /** Time after each event of a stream. */
  readonly eventPauseMs?: number;
  /** Returns the software version of the `start`-th start of a runner; its events name it. */
  readonly chooseVersion?: (name: string, start: number) => string;
  /** Time from a start to its registry entry. */
  readonly entryDelayMs?: number;
  /** Returns the event at which the next stream is broken off, if it is. */
  readonly chooseBreak?: () => number | undefined;
}

/** A stream to be sent. */
export interface StreamOptions {
  readonly eventCount?: number | undefined;
  readonly eventPauseMs?: number | undefined;
  /** Text in each event, after its number. */
  readonly label?: string | undefined;
  /** The event at which the stream is broken off. */
  readonly breakAt?: number | undefined;
  /** Called with each event. */
  readonly onEvent?: () => void;
}

/** Arrivals of crashing requests and ends of runners, shared by all runners of a test. */
export class CrashLog {
  /** Whether such requests end runners. */
  isCrashing = true;
  /** Times at which such a request arrived at a runner. */
  readonly arrivals: number[] = [];
  /** Times at which a runner ended under such a request. */
  readonly crashes: number[] = [];
}

/** Time without heartbeats after which the registry entry of an ended runner expires. */
const ENTRY_EXPIRY_MS = 2_500;
const DEFAULT_EVENT_COUNT = 5;
const PLAIN_WORK_MS = 10;

/** A runner that listens on loopback and is listed in the registry. */
export class CrashingRunner implements AsyncDisposable {
  readonly #name: string;
  readonly #role: RunnerRole;
  readonly #platform: store.StoreStandIn;
  readonly #behaviour: CrashBehaviour;
  readonly #log: CrashLog;
  readonly #sockets = new Set<net.Socket>();
  readonly #timers = new Set<NodeJS.Timeout>();
  /** Number of events of each stream in progress, also after its connection ended. */
  readonly #runs = new Map<string, number>();
  #server: http.Server | undefined;
  #port = 0;
  #starts = 0;
  #isSilent = false;

  constructor(
    name: string,
    role: RunnerRole,
    platform: store.StoreStandIn,
    behaviour: CrashBehaviour,
    log: CrashLog,
  ) {
    this.#name = name;
    this.#role = role;
    this.#platform = platform;
    this.#behaviour = behaviour;
    this.#log = log;
  }

  get #id(): string {
    return this.#behaviour.keepsId ? this.#name : `${this.#name}-${this.#starts}`;
  }

  /** Starts the process, on the same port as before, and lists it in the registry. */
  async start(): Promise<void> {
    this.#starts += 1;
    // Outgoing connections must not take the port while the runner is down.
    if (this.#port === 0) this.#port = await processes.findFreePort();
    this.#isSilent = false;
    const server = http.createServer((request, response) => {
      void this.#handle(request, response);
    });
    server.on("connection", (socket: net.Socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    server.listen(this.#port, "127.0.0.1");
    await events.default.once(server, "listening");
    this.#server = server;
    const { entryDelayMs } = this.#behaviour;
    if (entryDelayMs === undefined || this.#starts === 1) this.#publish("ready");
    else
      this.#schedule(entryDelayMs, () => {
        this.#publish("ready");
      });
  }

  /** Lists the runner as leaving. */
  markLeaving(): void {
    this.#publish("draining");
  }

  /** Ends the process for good and removes its entry. */
  async retire(): Promise<void> {
    this.#platform.remove(`servers/${this.#id}`);
    await this[Symbol.asyncDispose]();
  }

  get #version(): string {
    return this.#behaviour.chooseVersion?.(this.#name, this.#starts) ?? "v1";
  }

  #publish(state: string): void {
    const isPlain = this.#role === RUNNER_ROLE.plain;
    const changes = isPlain ? {} : { service: "model", stage: this.#role, slots: 16 };
    const entry = examples.createRunnerEntry(`127.0.0.1:${this.#port}`, {
      ...changes,
      born: this.#starts,
      version: this.#version,
      state,
    });
    this.#platform.set(`servers/${this.#id}`, entry);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const timer of this.#timers) clearTimeout(timer);
    await this.#closeServer();
  }

  async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    if (this.#isSilent) {
      if (this.#behaviour.mode === CRASH_MODE.forwarded) relays.resetSocket(request.socket);
      return;
    }
    if (request.url === "/-/report") {
      this.#handleReport(request, response);
      return;
    }
    const body = await readBody(request);
    if (request.method === "DELETE") {
      response.end();
      return;
    }
    const isCrashing = body === CRASHING_BODY || hasCrashingPart(request);
    if (isCrashing) this.#log.arrivals.push(performance.now());
    if (request.headers["expect-instance"] !== this.#id) {
      const headers = { "not-executed": "1", "request-id": String(request.headers["request-id"]) };
      response.writeHead(421, headers).end();
      return;
    }
    const crashes = this.#role === this.#behaviour.crashingRole && isCrashing;
    if (!crashes || !this.#log.isCrashing) {
      await this.#answer(request, response);
      return;
    }
    this.#log.crashes.push(performance.now());
    if (this.#behaviour.sendsEvent === true) await sendFirstEvent(request, response);
    await this.crash();
  }

  async #answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const call = String(request.headers["request-id"]);
    const onEvent = (): void => {
      this.#runs.set(call, (this.#runs.get(call) ?? 0) + 1);
    };
    await ANSWERS[this.#role](request, response, { ...this.#createStream(), onEvent });
    this.#runs.delete(call);
  }

  #createStream(): StreamOptions {
    const { eventCount, eventPauseMs, chooseVersion, chooseBreak } = this.#behaviour;
    const label = chooseVersion === undefined ? undefined : this.#version;
    return { eventCount, eventPauseMs, label, breakAt: chooseBreak?.() };
  }

  #handleReport(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (request.headers["expect-instance"] !== this.#id) response.writeHead(421).end();
    else if (this.#role === RUNNER_ROLE.plain) response.writeHead(404).end();
    else {
      const runs = [...this.#runs].map(([call, events]) => [call, 100, events, 5]);
      const report = { born: this.#starts, stage: this.#role, kv_total: 72_680, runs };
      response.end(JSON.stringify(report));
    }
  }

  /** Ends the process; it starts again some time later. */
  async crash(): Promise<void> {
    if (this.#isSilent) return;
    const { mode, restartMs } = this.#behaviour;
    const key = `servers/${this.#id}`;
    const expiry = this.#schedule(ENTRY_EXPIRY_MS, () => {
      this.#platform.remove(key);
    });
    this.#isSilent = true;
    if (mode === CRASH_MODE.reset) await this.#closeServer();
    if (mode === CRASH_MODE.forwarded)
      for (const socket of this.#sockets) relays.resetSocket(socket);
    this.#schedule(restartMs, () => {
      clearTimeout(expiry);
      void this.#restart(key);
    });
  }

  async #restart(key: string): Promise<void> {
    await this.#closeServer();
    if (!this.#behaviour.keepsId) this.#platform.remove(key);
    await this.start();
  }

  #schedule(delayMs: number, run: () => void): NodeJS.Timeout {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      run();
    }, delayMs);
    this.#timers.add(timer);
    return timer;
  }

  /** Resets all connections and stops listening. */
  async #closeServer(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    for (const socket of this.#sockets) relays.resetSocket(socket);
    if (server === undefined) return;
    await new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
    });
  }
}

/** Whether the crashing part is a part of the prompt other than the last one. */
export function hasCrashingPart(request: http.IncomingMessage): boolean {
  const parts = String(request.headers["prompt-prefix"] ?? "").split(",");
  return parts.slice(0, -1).some((part) => part.startsWith(`${CRASHING_PART}:`));
}

/** Reads the whole body of a request. */
export async function readBody(request: http.IncomingMessage): Promise<string> {
  let body = "";
  for await (const chunk of request as AsyncIterable<Buffer>) body += chunk.toString();
  return body;
}

type AnswerHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  stream?: StreamOptions,
) => Promise<void>;

/** Answers to requests that do not end the runner, by role. */
export const ANSWERS: Readonly<Record<RunnerRole, AnswerHandler>> = {
  plain: async (request, response) => {
    await new Promise((resolve) => setTimeout(resolve, PLAIN_WORK_MS));
    response.writeHead(200, createAnswerHeaders(request)).end("answer");
  },
  prefill: (request, response) => {
    response.setHeader("request-id", String(request.headers["request-id"]));
    response.end(JSON.stringify({ kv_handle: "h", tokens: 100, version: 1 }));
    return Promise.resolve();
  },
  decode: async (request, response, stream = {}) => {
    const {
      eventCount = DEFAULT_EVENT_COUNT,
      eventPauseMs = PLAIN_WORK_MS,
      label,
      breakAt,
      onEvent,
    } = stream;
    response.writeHead(200, createAnswerHeaders(request));
    const first = Number(request.headers["last-event-id"] ?? -1) + 1;
    for (let event = first; event < eventCount; event += 1) {
      if (event === breakAt) {
        response.destroy();
        return;
      }
      const text = label === undefined ? "" : ` of ${label}`;
      response.write(`id: ${event}\ndata: piece ${event}${text}\n\n`);
      onEvent?.();
      await new Promise((resolve) => setTimeout(resolve, eventPauseMs));
    }
    response.end();
  },
};

/** Sends the head and the first event of a stream. */
async function sendFirstEvent(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  response.writeHead(200, createAnswerHeaders(request));
  response.write("id: 0\ndata: piece 0\n\n");
  await new Promise((resolve) => setTimeout(resolve, PLAIN_WORK_MS));
}

function createAnswerHeaders(request: http.IncomingMessage): Record<string, string> {
  return { "request-id": String(request.headers["request-id"]), "response-stamp": "s" };
}
