/**
 * A caller whose request ends each runner that begins to run it, and which sends it again and again at all gateways; and
 * the check that the request stops after the third runner.
 */
import * as random from "../../src/kernel/random.js";
import * as callers from "./callers.js";
import * as plainRunner from "./plain-runner.js";
import type * as soakCluster from "./soak-cluster.js";

const SEND_INTERVAL_MS = 250;
/** Time without a fault after which a gateway's requests count, and after the third crash. */
const STABLE_WINDOW_MS = 3_000;
/** Arrivals at runners that are allowed later than `STABLE_WINDOW_MS` after the third crash. */
const MAX_LATE_ARRIVALS = 3;
const CRASH_LIMIT = 3;

/** Sends the request until it is stopped. */
export class CrashingCaller {
  readonly #cluster: soakCluster.SoakCluster;
  /** Gateways by request id, of the requests that have ended. */
  readonly #gateways = new Map<string, soakCluster.Gateway>();
  readonly #pending = new Set<Promise<unknown>>();
  readonly #task: Promise<void>;
  #stopped = false;

  constructor(cluster: soakCluster.SoakCluster, seed: number) {
    this.#cluster = cluster;
    this.#task = this.#run(random.createSeededRandom(seed));
  }

  /** Stops sending and waits for the requests in progress. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#task;
    await Promise.all(this.#pending);
  }

  /** Returns a line if the request kept arriving at runners. */
  listViolations(): string[] {
    const { arrivals, crashedAt } = this.#cluster.crashing;
    const lateFrom = (crashedAt[CRASH_LIMIT - 1] ?? Infinity) + STABLE_WINDOW_MS;
    const late = arrivals.filter(({ call, at }) => at > lateFrom && this.#isInTouch(call, at));
    if (late.length <= MAX_LATE_ARRIVALS) return [];
    const figures = `${crashedAt.length} runners ended, ${arrivals.length} arrivals`;
    return [`BUDGET: a request arrived ${late.length} times after it had ended three; ${figures}`];
  }

  /** Whether the gateway of a request had no fault in the stable window before the arrival. */
  #isInTouch(call: string, at: number): boolean {
    const disturbances = this.#gateways.get(call)?.disturbances;
    if (disturbances === undefined) return false;
    return disturbances.every(({ from, to }) => from > at || to < at - STABLE_WINDOW_MS);
  }

  async #run(source: random.RandomSource): Promise<void> {
    const { gateways } = this.#cluster;
    while (!this.#stopped) {
      const gateway = gateways[source.nextInteger(gateways.length)];
      if (gateway !== undefined) this.#send(gateway);
      await new Promise((resolve) => setTimeout(resolve, SEND_INTERVAL_MS));
    }
  }

  #send(gateway: soakCluster.Gateway): void {
    const { status } = callers.CALL_KIND;
    const body = plainRunner.CRASHING_BODY;
    const ended = callers.sendCall(gateway, status, false, undefined, body).then(({ id }) => {
      this.#gateways.set(id, gateway);
      this.#pending.delete(ended);
    });
    this.#pending.add(ended);
  }
}
