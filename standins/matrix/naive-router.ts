/** The naive router for comparison: round robin, retry on any failure, no ids, no records. */
import * as clocks from "../../src/kernel/clock.js";
import * as codes from "../../src/protocol/result-codes.js";
import type * as document from "../../src/settings/document.js";
import type * as upstream from "../../src/upstream/types.js";
import type * as nodeProcess from "./node-process.js";
import type * as router from "./router.js";

const TRIES = 3;
const TRY_LIMIT_MS = 1000;

/** A node that forwards each call to the next backend and tries again on any failure. */
export class NaiveNode implements router.RouterNode {
  readonly process: nodeProcess.NodeProcess;
  readonly #backends: upstream.ServiceClient;
  readonly #service: document.PlainService;
  readonly #vms: readonly string[];
  #next = 0;
  #isLeaving = false;

  constructor(
    process: nodeProcess.NodeProcess,
    backends: upstream.ServiceClient,
    service: document.PlainService,
    vms: readonly string[],
  ) {
    this.process = process;
    this.#backends = backends;
    this.#service = service;
    this.#vms = vms;
  }

  get isOpen(): boolean {
    return !this.#isLeaving;
  }

  handleAddressQuestion(): { readonly vms: readonly string[]; readonly session: string } {
    return { vms: this.#vms, session: "none" };
  }

  /** Its failures say nothing of the run; callers read them as "not run", as they do a plain 503. */
  async handleBooking(
    request: router.BookingRequest,
    signal: AbortSignal,
  ): Promise<upstream.PlainResponse> {
    const body = Buffer.from(request.body);
    const plain = { method: "POST", path: "/bookings", headers: {}, body };
    for (let tries = 0; tries < TRIES; tries += 1) {
      using limit = clocks.createTimeLimit(this.process.clock, TRY_LIMIT_MS, signal);
      try {
        const options = { fresh: false, signal: limit.signal };
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

  #nextBackend(): document.PlainService["backends"][number] {
    const { backends } = this.#service;
    const backend = backends[this.#next % backends.length];
    this.#next += 1;
    if (!backend) throw new Error("no backend");
    return backend;
  }
}
