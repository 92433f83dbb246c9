/** The naive router for comparison: round robin, retry on any failure, no ids, no records. */
import * as clocks from "../../src/kernel/clock.js";
import * as codes from "../../src/protocol/result-codes.js";
import type * as document from "../../src/settings/document.js";
import type * as upstream from "../../src/upstream/types.js";
import * as fixtures from "./fixtures.js";
import type * as caller from "./matrix-caller.js";
import type * as nodeProcess from "./node-process.js";
import type * as router from "./router.js";

const TRIES = 3;
const TRY_LIMIT_MS = 1000;
const MAX_TOKENS = 1000;

/** What a naive node is made of. */
export interface NaiveNodeOptions {
  readonly process: nodeProcess.NodeProcess;
  readonly backends: upstream.ServiceClient;
  readonly engines: upstream.EngineClient;
  readonly vms: readonly string[];
}

/** A node that forwards each call to the next backend and tries again on any failure. */
export class NaiveNode implements router.RouterNode {
  readonly process: nodeProcess.NodeProcess;
  readonly #backends: upstream.ServiceClient;
  readonly #engines: upstream.EngineClient;
  readonly #vms: readonly string[];
  #next = 0;
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

  handleAddressQuestion(): { readonly vms: readonly string[]; readonly session: string } {
    return { vms: this.#vms, session: "none" };
  }

  /** Its failures say nothing of the run; callers read them as "not run", as they do a plain 503. */
  async handleBooking(
    request: router.MatrixRequest,
    signal: AbortSignal,
  ): Promise<upstream.PlainResponse> {
    const body = Buffer.from(request.body);
    const plain = { method: "POST", path: "/bookings", headers: {}, body };
    for (let tries = 0; tries < TRIES; tries += 1) {
      using limit = clocks.createTimeLimit(this.process.clock, TRY_LIMIT_MS, signal);
      try {
        const options = { newConnection: false, signal: limit.signal };
        return await this.#backends.send(this.#nextBackend(), plain, options);
      } catch {
        if (signal.aborted) break;
      }
    }
    throw new codes.RequestError(codes.RESULT_CODES.upstreamUnavailable, codes.RAN.no);
  }

  /** Ends at once, with whatever is in progress. */
  startLeaving(): void {
    this.#isLeaving = true;
    this.process.kill();
  }

  /** Passes whatever comes, and on a failure begins again with the next runners. */
  async *handleModel(
    request: router.MatrixRequest,
    signal: AbortSignal,
  ): AsyncGenerator<caller.ReceivedToken> {
    for (let tries = 0; tries < TRIES; tries += 1) {
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
    this.#next += 1;
    const runner = runners[this.#next % runners.length];
    if (!runner) throw new Error("no runner");
    return runner;
  }

  #nextBackend(): document.PlainService["backends"][number] {
    const { backends } = fixtures.SERVICE;
    const backend = backends[this.#next % backends.length];
    this.#next += 1;
    if (!backend) throw new Error("no backend");
    return backend;
  }
}
