/**
 * An emulated runner of the users' platform that fails all or some of the requests that reach it, and
 * records every arrival.
 */
import * as events from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import type * as budgetCheck from "../retry-budget-check.js";
import * as crashing from "./crashing-runner.js";
import * as examples from "./examples.js";
import type * as store from "./store.js";

const HTTP_CONFLICT = 409;

/** What a runner does with a request. */
export const FAILURE = {
  /** Serves it. */
  none: "none",
  /** Answers 503 and states that the request was not executed. */
  reject: "reject",
  /** Runs it and resets the connection before any answer. */
  reset: "reset",
} as const;

/** One of the values of `FAILURE`. */
export type Failure = (typeof FAILURE)[keyof typeof FAILURE];

/** Fails a request in the given way. */
export function failRequest(
  failure: Exclude<Failure, "none">,
  id: string,
  response: http.ServerResponse,
): void {
  if (failure === FAILURE.reset) response.socket?.resetAndDestroy();
  else response.writeHead(503, { "not-executed": "1", "request-id": id }).end();
}

/** Failures of a runner. */
export interface FailureBehaviour {
  readonly failure: Failure;
  /** Fails one request in this many. */
  readonly every: number;
  /** Returns the limit that each answer names, if it names one. */
  readonly chooseLimit?: () => string | undefined;
  /** Returns the value with which each answer states that the runner leaves, if it does. */
  readonly chooseLeaving?: () => string | undefined;
  /** Returns the pause in seconds for which a request is turned away, if it is; called with the id of the request. */
  readonly choosePause?: (call: string) => string | undefined;
}

/** A runner that listens on loopback and is listed in the registry. */
export class FailingRunner implements AsyncDisposable {
  readonly #id: string;
  readonly #role: crashing.RunnerRole;
  readonly #behaviour: FailureBehaviour;
  readonly #arrivals: budgetCheck.Arrival[];
  readonly #server = http.createServer((request, response) => {
    void this.#handle(request, response);
  });
  #count = 0;

  /** @param arrivals - receives every arrival; shared by all runners of a test. */
  constructor(
    id: string,
    role: crashing.RunnerRole,
    behaviour: FailureBehaviour,
    arrivals: budgetCheck.Arrival[],
  ) {
    this.#id = id;
    this.#role = role;
    this.#behaviour = behaviour;
    this.#arrivals = arrivals;
  }

  /** Starts to listen and lists the runner in the registry. */
  async start(platform: store.StoreStandIn): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await events.default.once(this.#server, "listening");
    this.list(platform);
  }

  /** Writes the runner's entry, also again. */
  list(platform: store.StoreStandIn, born: number = examples.BORN): void {
    const { port } = this.#server.address() as net.AddressInfo;
    const isPlain = this.#role === crashing.RUNNER_ROLE.plain;
    const service = isPlain ? {} : { service: "model", stage: this.#role };
    const changes = { ...service, slots: 100, born };
    platform.set(`servers/${this.#id}`, examples.createRunnerEntry(`127.0.0.1:${port}`, changes));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    await events.default.once(this.#server, "close");
  }

  async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    await crashing.readBody(request);
    const leaving = this.#behaviour.chooseLeaving?.();
    if (leaving !== undefined) response.setHeader("server-leaving", leaving);
    if (request.url === "/-/report") {
      const report = { born: examples.BORN, stage: this.#role, kv_total: 72_680, runs: [] };
      response.end(JSON.stringify(report));
      return;
    }
    if (request.method === "DELETE") {
      response.end();
      return;
    }
    if (request.url === "/-/order") {
      // Keeps its stage, as a runner does that carries out another order.
      response.writeHead(HTTP_CONFLICT).end();
      return;
    }
    const limit = this.#behaviour.chooseLimit?.();
    if (limit !== undefined) response.setHeader("server-limit", limit);
    const pause = this.#behaviour.choosePause?.(String(request.headers["request-id"]));
    if (pause !== undefined) response.setHeader("retry-after", pause);
    const failure = pause === undefined ? this.#chooseFailure() : FAILURE.reject;
    this.#recordArrival(request, failure !== FAILURE.reject);
    await this.#answer(failure, request, response);
  }

  async #answer(
    failure: Failure,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (failure === FAILURE.none) await crashing.ANSWERS[this.#role](request, response);
    else failRequest(failure, String(request.headers["request-id"]), response);
  }

  #chooseFailure(): Failure {
    this.#count += 1;
    return this.#count % this.#behaviour.every === 0 ? this.#behaviour.failure : FAILURE.none;
  }

  #recordArrival(request: http.IncomingMessage, hasRun: boolean): void {
    this.#arrivals.push({
      call: String(request.headers["request-id"]),
      service: this.#role === crashing.RUNNER_ROLE.plain ? "plain" : "model",
      runner: this.#id,
      at: performance.now(),
      isPrefill: request.headers["serving-stage"] === "prefill",
      hasRun,
    });
  }
}
