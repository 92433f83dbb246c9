/**
 * An emulated model runner of the users' platform. It runs prefill and decode as separate requests,
 * gives out handles that can be used once, and resumes streams after a given event.
 */
import * as events from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import * as crashing from "./crashing-runner.js";
import * as examples from "./examples.js";
import * as failing from "./failing-runner.js";

/** Request ids by KV cache handle (`address/handle`), shared by all engines of a test. */
export interface HandleTable {
  get(source: string): string | undefined;
  set(source: string, call: string): unknown;
  delete(source: string): boolean;
}

/** Behaviour of an engine, including the faults it injects. */
export interface EngineBehaviour {
  /** Number of events in a complete answer. */
  readonly eventCount?: number;
  /** Software version that each event names. */
  readonly softwareVersion?: string;
  /** Pause after each event. */
  readonly eventPauseMs?: number;
  /** Closes the first stream that reaches the event with this number, in the middle of it. */
  readonly breakAfterEvents?: number;
  /** Sends streams with neither a length nor chunks; they end with their connection. */
  readonly isUnframed?: boolean;
  /** Part of the event that is sent before a stream is closed. */
  readonly brokenPart?: string;
  /** Whether the engine stops with the stream that it closes. */
  readonly stopsWhenBroken?: boolean;
  /** Resets the connection instead of answering this many prefills, which run nevertheless. */
  readonly droppedPrefillAnswers?: number;
  /**
   * Refuses decode requests with a response that says that they were not executed, until it has
   * refused this many, including those whose handle is gone.
   */
  readonly refusals?: number;
  /** Returns what to do with the next request; by default it is served. */
  readonly chooseFailure?: () => failing.Failure;
  /** Returns headers that all answers have. */
  readonly createCommonHeaders?: () => Record<string, string>;
  /** Called when a request or a prefill arrives, with whether it runs. */
  readonly onArrived?: (call: string, isPrefill: boolean, hasRun: boolean) => void;
  /** Called when a request or a prefill with the crashing part arrives. */
  readonly onCrashArrived?: (call: string) => void;
  /** Called when a request with the crashing part starts to run; must end the process. */
  readonly onCrash?: (call: string) => void;
  /** Called when a request starts to run. */
  readonly onRan?: (call: string) => void;
  /** Called when the connection of a running request closes before the response ends. */
  readonly onCancelled?: (call: string) => void;
}

const DEFAULT_PAUSE_MS = 1;

/** An engine that listens on loopback. */
export class EngineStandIn implements AsyncDisposable {
  /** Ids of the requests that ran on this engine, in order. */
  readonly ran: string[] = [];
  /** Ids of the requests whose connection closed before the response ended. */
  readonly cancelled: string[] = [];
  /** Number of prefill requests received. */
  prefills = 0;
  readonly #handles: HandleTable;
  readonly #behaviour: EngineBehaviour;
  readonly #server = http.createServer((request, response) => {
    request.resume();
    const headers = this.#behaviour.createCommonHeaders?.() ?? {};
    response.setHeaders(new Map(Object.entries(headers)));
    request.once("end", () => {
      void this.#handle(request, response);
    });
  });
  #brokenStreams = 0;
  #refusedRequests = 0;
  readonly #stage: string;

  constructor(stage: string, handles: HandleTable, behaviour: EngineBehaviour = {}) {
    this.#stage = stage;
    this.#handles = handles;
    this.#behaviour = behaviour;
  }

  get #label(): string {
    const { softwareVersion } = this.#behaviour;
    return softwareVersion === undefined ? "" : ` of ${softwareVersion}`;
  }

  get address(): string {
    const { address, port } = this.#server.address() as net.AddressInfo;
    return `${address}:${port}`;
  }

  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await events.default.once(this.#server, "listening");
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    if (!this.#server.listening) return;
    this.#server.close();
    await events.default.once(this.#server, "close");
  }

  async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const id = String(request.headers["request-id"]);
    if (request.url === "/-/report") {
      const report = { born: examples.BORN, stage: this.#stage, kv_total: 72_680, runs: [] };
      response.end(JSON.stringify(report));
      return;
    }
    if (request.method === "DELETE") {
      this.#handles.delete(`${this.address}/${request.url?.split("/").at(-1) ?? ""}`);
      response.end();
      return;
    }
    const isCrashing = crashing.hasCrashingPart(request);
    if (isCrashing) this.#behaviour.onCrashArrived?.(id);
    if (request.headers["serving-stage"] === "prefill") this.#prefill(id, response);
    else if (isCrashing) this.#behaviour.onCrash?.(id);
    else await this.#decode(id, request, response);
  }

  /** Fails a request if the engine is told to; returns whether it did. */
  #failIfTold(id: string, isPrefill: boolean, response: http.ServerResponse): boolean {
    const failure = this.#behaviour.chooseFailure?.() ?? failing.FAILURE.none;
    if (failure === failing.FAILURE.none) return false;
    this.#behaviour.onArrived?.(id, isPrefill, failure === failing.FAILURE.reset);
    if (failure === failing.FAILURE.reset && !isPrefill) this.#behaviour.onRan?.(id);
    failing.failRequest(failure, id, response);
    return true;
  }

  #prefill(id: string, response: http.ServerResponse): void {
    if (this.#failIfTold(id, true, response)) return;
    this.#behaviour.onArrived?.(id, true, true);
    this.prefills += 1;
    const handle = `h-${id}`;
    this.#handles.set(`${this.address}/${handle}`, id);
    if (this.prefills <= (this.#behaviour.droppedPrefillAnswers ?? 0)) {
      response.socket?.resetAndDestroy();
      return;
    }
    response.setHeader("request-id", id);
    response.end(JSON.stringify({ kv_handle: handle, tokens: 100, version: 1 }));
  }

  async #decode(
    id: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (this.#failIfTold(id, false, response)) return;
    const source = request.headers["kv-source"];
    const { refusals = 0, eventCount = 5, breakAfterEvents } = this.#behaviour;
    const isGone = typeof source === "string" && this.#handles.get(source) !== id;
    if (isGone || this.#refusedRequests < refusals) {
      this.#refusedRequests += 1;
      this.#behaviour.onArrived?.(id, false, false);
      response.writeHead(503, { "not-executed": "1", "request-id": id }).end();
      return;
    }
    this.#handles.delete(String(source));
    this.ran.push(id);
    this.#behaviour.onArrived?.(id, false, true);
    this.#behaviour.onRan?.(id);
    response.once("close", () => {
      if (response.writableFinished) return;
      this.cancelled.push(id);
      this.#behaviour.onCancelled?.(id);
    });
    if (this.#behaviour.isUnframed === true) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "request-id": id,
      "response-stamp": `stamp-${this.address}`,
    });
    const first = Number(request.headers["last-event-id"] ?? -1) + 1;
    for (let event = first; event < eventCount; event += 1) {
      if (event === breakAfterEvents && this.#brokenStreams === 0) {
        this.#brokenStreams += 1;
        response.write(this.#behaviour.brokenPart ?? `id: ${event}\ndata: half`);
        if (this.#behaviour.stopsWhenBroken === true) this.#server.close();
        setTimeout(() => {
          if (this.#behaviour.isUnframed === true) response.end();
          else response.destroy();
        }, DEFAULT_PAUSE_MS);
        return;
      }
      response.write(`id: ${event}\ndata: piece ${event}${this.#label}\n\n`);
      await this.#pause();
    }
    response.end();
  }

  async #pause(): Promise<void> {
    await new Promise((resolve) => {
      setTimeout(resolve, this.#behaviour.eventPauseMs ?? DEFAULT_PAUSE_MS);
    });
  }
}
