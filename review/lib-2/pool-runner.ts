/**
 * A model runner with a stage, as the pages describe it: prefill with handles, decode with a stream, reports that are some
 * hundred milliseconds old, and orders that are checked by their fencing token and sequence.
 */
import * as events from "node:events";
import * as http from "node:http";
import * as crypto from "node:crypto";
import type * as store from "../../standins/users-platform/store.js";
import type * as caseRecord from "./case-record.js";
import * as records from "./case-record.js";

/** Prompt tokens that a prefill runner reads in a millisecond. */
const TOKENS_PER_MS = 55;
const EVENT_TOKENS = 61;
/** Time of one event, in which `EVENT_TOKENS` tokens are made. */
const EVENT_MS = 37;
const HANDLE_TTL_MS = 500;
const SWITCH_MS = 6_000;
/** Age of the values of a report. */
const REPORT_AGE_MS = 600;
const STATE_POLL_MS = 20;
const RUNNER_PORT = 8080;
const SLOTS = 64;
const KV_CAPACITY = 101_752;

/** An order that reached a runner. */
export interface ObservedOrder {
  /** Milliseconds since the start of the case. */
  readonly at: number;
  readonly runner: string;
  readonly holder: string;
  readonly fencingToken: number;
  readonly stage: string;
  readonly status: number;
}

/** Services that runners share. */
export interface RunnerContext {
  readonly record: caseRecord.CaseRecord;
  readonly platform: store.StoreStandIn;
  readonly service: string;
  /** Orders that reached any runner, in order. */
  readonly orders: ObservedOrder[];
  /** Request ids by `IP:PORT/HANDLE`. */
  readonly handles: Map<string, string>;
}

interface RunnerState {
  readonly at: number;
  readonly stage: string;
  readonly busy: boolean;
  readonly sequence: number;
  readonly running: number;
}

/** A runner that listens on an address of its own. */
export class PoolRunner {
  readonly id: string;
  readonly #ip: string;
  readonly #context: RunnerContext;
  readonly #born = Date.now();
  readonly #server = http.createServer((request, response) => {
    void this.#handle(request, response);
  });
  #stage: string;
  #busy = false;
  #sequence = 0;
  #highestToken = 0;
  #running = 0;
  readonly #states: RunnerState[] = [];

  constructor(id: string, ip: string, stage: string, context: RunnerContext) {
    this.id = id;
    this.#ip = ip;
    this.#stage = stage;
    this.#context = context;
  }

  /** Starts to listen and registers the runner. Its heartbeats change nothing else in its entry, so they are no revisions. */
  async start(): Promise<void> {
    this.#server.keepAliveTimeout = 5_000;
    this.#server.listen(RUNNER_PORT, this.#ip);
    await events.default.once(this.#server, "listening");
    this.#recordState();
    setInterval(() => {
      this.#recordState();
    }, STATE_POLL_MS);
    this.#publish();
  }

  #publish(): void {
    const { platform, service, record } = this.#context;
    record.write(`${this.id} is listed as ${this.#stage}`);
    platform.set(`servers/${this.id}`, {
      service,
      address: `${this.#ip}:${RUNNER_PORT}`,
      zone: "ikeja",
      version: "v1",
      slots: SLOTS,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: this.#sequence,
      stage: this.#stage,
      models: [{ name: "m", version: 1 }],
      born: this.#born,
    });
  }

  #recordState(): void {
    const [stage, busy, sequence] = [this.#stage, this.#busy, this.#sequence];
    const at = performance.now();
    this.#states.push({ at, stage, busy, sequence, running: this.#running });
    while ((this.#states[1]?.at ?? Infinity) <= at - REPORT_AGE_MS) this.#states.shift();
  }

  async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "instance-id": this.id, "not-executed": "1" }).end();
      return;
    }
    if (request.url === "/-/report") this.#sendReport(response);
    else if (request.url === "/-/order") this.#handleOrder(Buffer.concat(chunks), response);
    else if (request.method === "DELETE") {
      this.#context.handles.delete(this.#formatHandle(request.url?.split("/").at(-1) ?? ""));
      response.end();
    } else await this.#serve(request, response);
  }

  #sendReport(response: http.ServerResponse): void {
    const state = this.#states[0];
    const report = {
      born: this.#born,
      stage: state?.stage,
      models: [{ name: "m", version: 1, adapters: [] }],
      busy: state?.busy,
      sequence: state?.sequence,
      waiting: 0,
      running: state?.running,
      kv_used: 0,
      kv_total: KV_CAPACITY,
      kv_handles: 0,
      runs: [],
    };
    response.setHeader("content-type", "application/json").end(JSON.stringify(report));
  }

  #handleOrder(body: Buffer, response: http.ServerResponse): void {
    const order = JSON.parse(body.toString("utf8")) as Readonly<Record<string, unknown>>;
    const { holder, fencing_token: fencingToken, stage } = order;
    const isComplete =
      typeof holder === "string" && typeof fencingToken === "number" && typeof stage === "string";
    const status = isComplete ? this.#acceptOrder(order, fencingToken, stage) : 400;
    const { orders, record } = this.#context;
    const seen = {
      at: record.now(),
      runner: this.id,
      holder: String(holder),
      fencingToken: Number(fencingToken),
      stage: String(stage),
      status,
    };
    orders.push(seen);
    record.write(
      `order to ${seen.runner}: stage ${seen.stage}, holder ${seen.holder}, fencing_token ${seen.fencingToken}, answered ${status}`,
    );
    response.writeHead(status).end();
  }

  #acceptOrder(
    { op, expected }: Readonly<Record<string, unknown>>,
    fencingToken: number,
    stage: string,
  ): number {
    if (op !== "stage") return 400;
    if (fencingToken < this.#highestToken) return 412;
    this.#highestToken = fencingToken;
    if (this.#busy || (expected !== undefined && expected !== this.#sequence)) return 409;
    if (this.#stage === stage) return 200;
    this.#sequence += 1;
    this.#busy = true;
    void this.#switchStage(stage);
    return 202;
  }

  async #switchStage(stage: string): Promise<void> {
    while (this.#running > 0) await records.sleep(STATE_POLL_MS);
    await records.sleep(SWITCH_MS);
    this.#stage = stage;
    this.#busy = false;
    this.#publish();
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const id = String(request.headers["request-id"]);
    response.setHeader("request-id", id);
    const isPrefill = request.headers["serving-stage"] === "prefill";
    if (this.#busy) {
      response.writeHead(503, { "not-executed": "1" }).end();
      return;
    }
    if (isPrefill !== (this.#stage === "prefill")) {
      response.writeHead(421, { "not-executed": "1", "instance-id": this.id }).end();
      return;
    }
    this.#running += 1;
    try {
      await (isPrefill
        ? this.#prefill(id, request, response)
        : this.#decode(id, request, response));
    } finally {
      this.#running -= 1;
    }
  }

  async #prefill(
    id: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const tokens = parseTokens(request)[0];
    await records.sleep(tokens / TOKENS_PER_MS);
    const handle = crypto.randomBytes(6).toString("hex");
    const key = this.#formatHandle(handle);
    this.#context.handles.set(key, id);
    setTimeout(() => this.#context.handles.delete(key), HANDLE_TTL_MS);
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({ kv_handle: handle, tokens, version: 1 }));
  }

  async #decode(
    id: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const source = request.headers["kv-source"];
    const { handles } = this.#context;
    if (typeof source === "string" && !handles.delete(source)) {
      response.writeHead(503, { "not-executed": "1" }).end();
      return;
    }
    const [promptTokens, outputTokens] = parseTokens(request);
    if (source === undefined) await records.sleep((2 * promptTokens) / TOKENS_PER_MS);
    const count = Math.ceil(outputTokens / EVENT_TOKENS);
    const headers = { "content-type": "text/event-stream", "response-stamp": `${this.id}.${id}` };
    response.writeHead(200, headers);
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    for (let event = first; event <= count && !response.destroyed; event += 1) {
      await records.sleep(EVENT_MS);
      response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
    }
    response.end();
  }

  #formatHandle(handle: string): string {
    return `${this.#ip}:${RUNNER_PORT}/${handle}`;
  }
}

function parseTokens({ headers }: http.IncomingMessage): readonly [number, number] {
  const [prompt = 0, output = 0] = String(headers["token-count"]).split(",").map(Number);
  return [prompt, output];
}
