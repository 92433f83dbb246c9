/** The naive router for comparison: round robin, retries on any failure, no ids and no records. */
import * as clocks from "../../src/kernel/clock.js";
import * as codes from "../../src/protocol/result-codes.js";
import type * as document from "../../src/settings/document.js";
import type * as upstream from "../../src/upstream/types.js";
import * as fixtures from "./fixtures.js";
import type * as caller from "./matrix-caller.js";
import type * as nodeProcess from "./node-process.js";
import type * as router from "./router.js";

const MAX_ATTEMPTS = 3;
const ATTEMPT_TIMEOUT_MS = 1000;
const MAX_TOKENS = 1000;

/** Dependencies of a naive node. */
export interface NaiveNodeOptions {
  readonly process: nodeProcess.NodeProcess;
  readonly backends: upstream.ServiceClient;
  readonly engines: upstream.EngineClient;
  readonly vms: readonly string[];
}

/** A node that forwards each request to the next backend or runners and retries on any failure. */
export class NaiveNode implements router.RouterNode {
  readonly process: nodeProcess.NodeProcess;
  readonly #backends: upstream.ServiceClient;
  readonly #engines: upstream.EngineClient;
  readonly #vms: readonly string[];
  #nextIndex = 0;
  #lastAttempt = 0;
  #isLeaving = false;

  constructor(options: NaiveNodeOptions) {
    this.process = options.process;
    this.#backends = options.backends;
    this.#engines = options.engines;
    this.#vms = options.vms;
  }

  get isOpen(): boolean {
    return !this.#isLeaving;
  }

  handleAddressRequest(): { readonly vms: readonly string[]; readonly session: string } {
    return { vms: this.#vms, session: "none" };
  }

  /**
   * Reports every failure as "not run", since callers take a 503 that says nothing about execution
   * as that.
   */
  async handleBooking(
    request: router.MatrixRequest,
    signal: AbortSignal,
  ): Promise<upstream.PlainResponse> {
    const body = Buffer.from(request.body);
    const plain = { method: "POST", path: "/bookings", headers: {}, body };
    for (let count = 0; count < MAX_ATTEMPTS; count += 1) {
      using limit = clocks.createTimeLimit(this.process.clock, ATTEMPT_TIMEOUT_MS, signal);
      try {
        return await this.#backends.send(this.#nextBackend(), plain, limit.signal);
      } catch {
        if (signal.aborted) break;
      }
    }
    throw new codes.RequestError(codes.RESULT_CODES.upstreamUnavailable, codes.RAN.no);
  }

  /** Stops at once, without waiting for requests in progress. */
  startDrain(): void {
    this.#isLeaving = true;
    this.process.kill();
  }

  /** Passes every token on, and on a failure starts over with the next runners. */
  async *handleModel(
    request: router.MatrixRequest,
    signal: AbortSignal,
  ): AsyncGenerator<caller.ReceivedToken> {
    for (let count = 0; count < MAX_ATTEMPTS; count += 1) {
      try {
        yield* this.#runModel(request, signal);
        return;
      } catch {
        if (signal.aborted) break;
      }
    }
    throw new codes.RequestError(codes.RESULT_CODES.upstreamUnavailable, codes.RAN.no);
  }

  async *#runModel(
    request: router.MatrixRequest,
    signal: AbortSignal,
  ): AsyncGenerator<caller.ReceivedToken> {
    const { body: prompt, deadlineMs } = request;
    this.#lastAttempt += 1;
    const common = {
      id: request.id ?? "",
      attempt: this.#lastAttempt,
      model: fixtures.MODEL_NAME,
      priority: 0,
      deadlineMs,
    };
    const source = this.#nextRunner("prefill");
    const prefill = { ...common, prompt, continuation: "" };
    const { handle } = await this.#engines.prefill(source, prefill, signal);
    const decode = { ...common, source, handle, offset: 0, maxTokens: MAX_TOKENS };
    const runner = this.#nextRunner("decode");
    for await (const event of this.#engines.decode(runner, decode, signal)) {
      if (event.type === "token") yield event;
    }
  }

  #nextRunner(pool: string): document.Runner {
    const runners = fixtures.RUNNERS.filter((runner) => runner.pool === pool);
    this.#nextIndex += 1;
    const runner = runners[this.#nextIndex % runners.length];
    if (!runner) throw new Error(`no runner in pool ${pool}`);
    return runner;
  }

  #nextBackend(): document.PlainService["backends"][number] {
    const { backends } = fixtures.SERVICE;
    const backend = backends[this.#nextIndex % backends.length];
    this.#nextIndex += 1;
    if (!backend) throw new Error(`service ${fixtures.SERVICE.name} has no backend`);
    return backend;
  }
}
