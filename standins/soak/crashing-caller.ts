/**
 * Callers whose requests end each runner that begins to run them, sent again and again at all gateways; and the check that
 * they stop.
 */
import * as random from "../../src/kernel/random.js";
import * as crashingRunner from "../users-platform/crashing-runner.js";
import * as callers from "./callers.js";
import type * as children from "./children.js";
import * as plainRunner from "./plain-runner.js";
import type * as soakCluster from "./soak-cluster.js";

const SEND_INTERVAL_MS = 250;
/** Time without a fault after which a gateway's requests count, and after the last crash that is allowed. */
const STABLE_WINDOW_MS = 3_000;
/** Arrivals at runners that are allowed later than that. */
const MAX_LATE_ARRIVALS = 3;

/** What a caller sends, and after how many crashes its requests have to stop. */
interface CrashingRequests {
  readonly kind: callers.CallKind;
  readonly crashLimit: number;
  readonly createContent: (index: number) => callers.CallContent;
}

const REQUESTS: Readonly<Record<children.CrashCause, CrashingRequests>> = {
  bytes: {
    kind: callers.CALL_KIND.status,
    crashLimit: 3,
    createContent: () => ({ body: plainRunner.CRASHING_BODY }),
  },
  part: {
    kind: callers.CALL_KIND.notes,
    crashLimit: 5,
    // The first part is that of the other callers' prompts.
    createContent: (index) => ({
      body: `tainted ${index}`,
      promptParts: `aa:50,${crashingRunner.CRASHING_PART}:50,own${index}:50`,
    }),
  },
};

/** Sends requests that end their runners until it is stopped. */
export class CrashingCaller {
  readonly #cluster: soakCluster.SoakCluster;
  readonly #cause: children.CrashCause;
  /** Gateways by request id, of the requests that have ended. */
  readonly #gateways = new Map<string, soakCluster.Gateway>();
  readonly #pending = new Set<Promise<unknown>>();
  readonly #task: Promise<void>;
  #stopped = false;

  constructor(cluster: soakCluster.SoakCluster, cause: children.CrashCause, seed: number) {
    this.#cluster = cluster;
    this.#cause = cause;
    this.#task = this.#run(random.createSeededRandom(seed));
  }

  /** Stops sending and waits for the requests in progress. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#task;
    await Promise.all(this.#pending);
  }

  /** Returns a line if the requests kept arriving at runners. */
  listViolations(): string[] {
    const { arrivals, crashedAt } = this.#cluster.crashing[this.#cause];
    const { crashLimit } = REQUESTS[this.#cause];
    const lateFrom = (crashedAt[crashLimit - 1] ?? Infinity) + STABLE_WINDOW_MS;
    const late = arrivals.filter(({ call, at }) => at > lateFrom && this.#isInTouch(call, at));
    if (late.length <= MAX_LATE_ARRIVALS) return [];
    const figures = `${crashedAt.length} runners ended, ${arrivals.length} arrivals`;
    return [
      `BUDGET: requests with the same ${this.#cause} arrived ${late.length} times after they had ended ${crashLimit}; ${figures}`,
    ];
  }

  /** Whether the gateway of a request had no fault in the stable window before the arrival. */
  #isInTouch(call: string, at: number): boolean {
    const disturbances = this.#gateways.get(call)?.disturbances;
    if (disturbances === undefined) return false;
    return disturbances.every(({ from, to }) => from > at || to < at - STABLE_WINDOW_MS);
  }

  async #run(source: random.RandomSource): Promise<void> {
    const { gateways } = this.#cluster;
    for (let index = 0; !this.#stopped; index += 1) {
      const gateway = gateways[source.nextInteger(gateways.length)];
      if (gateway !== undefined) this.#send(gateway, index);
      await new Promise((resolve) => setTimeout(resolve, SEND_INTERVAL_MS));
    }
  }

  #send(gateway: soakCluster.Gateway, index: number): void {
    const { kind, createContent } = REQUESTS[this.#cause];
    const content = createContent(index);
    const ended = callers.sendCall(gateway, kind, false, undefined, content).then(({ id }) => {
      this.#gateways.set(id, gateway);
      this.#pending.delete(ended);
    });
    this.#pending.add(ended);
  }
}
