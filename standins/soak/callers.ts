/** Callers of the soak: they reuse connections and record the outcome of every request. */
import * as http from "node:http";
import * as random from "../../src/kernel/random.js";
import type * as soakCluster from "./soak-cluster.js";

const DEADLINE_MS = 3_000;
/** A caller aborts a request this long after its deadline. */
const ABORT_DELAY_MS = 1_000;
/** Upper bound of the random pause between two requests of a caller. */
const MAX_PAUSE_MS = 150;

/** Kinds of request, named after the route that serves them. */
export const CALL_KIND = { book: "book", status: "status", notes: "notes" } as const;

/** One of the values of `CALL_KIND`. */
export type CallKind = (typeof CALL_KIND)[keyof typeof CALL_KIND];

/** The outcome of a request as seen by its caller. */
export interface CallRecord {
  readonly id: string;
  readonly kind: CallKind;
  readonly gateway: string;
  readonly startedAt: number;
  endedAt: number;
  status: number | undefined;
  headers: http.IncomingHttpHeaders;
  body: string;
  /** Whether the response ended and was complete. */
  isComplete: boolean;
  /** Time at which the caller aborted the request; `undefined` when it did not. */
  abortedAt: number | undefined;
}

const HEADERS: Readonly<Record<CallKind, Readonly<Record<string, string>>>> = {
  book: {},
  status: {},
  notes: { model: "m", "token-count": "100,2440", "prompt-prefix": "aa:50,bb:50" },
};

let lastCallNumber = 0;

/** Content of a request that differs from that of the others of its kind. */
export interface CallContent {
  readonly body?: string;
  /** Parts of the prompt of a model request. */
  readonly promptParts?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/**
 * Sends a request and returns its record when its connection is closed; never rejects. Aborts it
 * after `abortAfterMs`, or else some time after its deadline.
 */
export function sendCall(
  gateway: soakCluster.Gateway,
  kind: CallKind,
  agent: http.Agent | false,
  abortAfterMs?: number,
  { body = "body", promptParts, headers = {} }: CallContent = {},
): Promise<CallRecord> {
  lastCallNumber += 1;
  const record: CallRecord = {
    id: `${kind}${lastCallNumber}`,
    kind,
    gateway: gateway.name,
    startedAt: performance.now(),
    endedAt: 0,
    status: undefined,
    headers: {},
    body: "",
    isComplete: false,
    abortedAt: undefined,
  };
  const service = kind === CALL_KIND.notes ? "model" : "plain";
  const { name, sentCalls } = gateway;
  sentCalls.push({ call: record.id, service, at: record.startedAt, gateway: name });
  return new Promise((resolve) => {
    const request = http.request({
      host: "127.0.0.1",
      port: gateway.front.port,
      method: "POST",
      path: `/${kind}/x`,
      agent,
      headers: {
        host: "api.example",
        "request-id": record.id,
        "deadline-ms": String(DEADLINE_MS),
        ...HEADERS[kind],
        ...(promptParts === undefined ? {} : { "prompt-prefix": promptParts }),
        ...headers,
      },
    });
    const abort = (): void => {
      record.abortedAt = performance.now();
      request.destroy();
    };
    const timer = setTimeout(abort, abortAfterMs ?? DEADLINE_MS + ABORT_DELAY_MS);
    request.on("response", (response) => {
      record.status = response.statusCode;
      record.headers = response.headers;
      response.on("data", (chunk: Buffer) => {
        record.body += chunk.toString("latin1");
      });
      response.on("end", () => {
        record.isComplete = response.complete;
      });
      response.on("error", () => undefined);
    });
    request.on("error", () => undefined);
    request.on("close", () => {
      clearTimeout(timer);
      record.endedAt = performance.now();
      resolve(record);
    });
    request.end(body);
  });
}

/** Concurrent callers that send requests until they are stopped. */
export class Callers {
  readonly records: CallRecord[] = [];
  readonly #cluster: soakCluster.SoakCluster;
  readonly #tasks: Promise<void>[];
  #stopped = false;

  constructor(cluster: soakCluster.SoakCluster, count: number, seed: number) {
    this.#cluster = cluster;
    const kinds = Object.values(CALL_KIND);
    this.#tasks = Array.from({ length: count }, (_, index) => {
      const kind = kinds[index % kinds.length] ?? CALL_KIND.book;
      return this.#run(kind, random.createSeededRandom(seed + index));
    });
  }

  /** Stops sending and waits for the requests in progress. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#tasks);
  }

  /**
   * Sends to one gateway until a response is incomplete or closes the connection, then to another.
   */
  async #run(kind: CallKind, source: random.RandomSource): Promise<void> {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    let gateway = this.#chooseGateway(source);
    while (!this.#stopped) {
      const record = await sendCall(gateway, kind, agent);
      this.records.push(record);
      if (!record.isComplete || record.headers.connection === "close") {
        gateway = this.#chooseGateway(source);
      }
      const pauseMs = source.nextInteger(MAX_PAUSE_MS);
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
    agent.destroy();
  }

  #chooseGateway(source: random.RandomSource): soakCluster.Gateway {
    const { gateways } = this.#cluster;
    const gateway = gateways[source.nextInteger(gateways.length)];
    if (gateway === undefined) throw new Error("the soak cluster has no gateway");
    return gateway;
  }
}
