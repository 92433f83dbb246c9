/** Runners that name limits on their requests for a time, and the check that they get no more. */
import * as random from "../../src/kernel/random.js";
import * as limitCheck from "../runner-limit-check.js";
import type * as soakCluster from "./soak-cluster.js";

/** Time from the start to the first limit. */
const START_MS = 500;
/** Time for which a limit is named; longer than the stable window and a window that counts. */
const MIN_LIMIT_MS = 7_500;
const MAX_EXTRA_MS = 2_000;
const MIN_PER_SECOND = 1;
const PER_SECOND_RANGE = 5;
/** Time without a fault after which a gateway's requests count. */
const STABLE_WINDOW_MS = 3_000;

/** Makes the runners of one role name limits until it is stopped. */
export class LimitingRunners {
  readonly #cluster: soakCluster.SoakCluster;
  readonly #named: limitCheck.NamedLimit[] = [];
  readonly #task: Promise<void>;
  #stop: () => void = () => undefined;
  readonly #stopped = new Promise<void>((resolve) => {
    this.#stop = resolve;
  });

  constructor(cluster: soakCluster.SoakCluster, seed: number) {
    this.#cluster = cluster;
    this.#task = this.#run(random.createSeededRandom(seed));
  }

  /** Names no limit any more. */
  async stop(): Promise<void> {
    this.#stop();
    await this.#task;
  }

  /** Returns a line for each runner that got more than the limit that it named. */
  listViolations(): string[] {
    const arrivals = this.#listCounted();
    return this.#named.flatMap((named) => {
      const use = limitCheck.computeLimitUse(named, arrivals);
      if (use === undefined || use.worst <= use.allowed) return [];
      const { runner, perSecond } = named;
      return [
        `LIMIT: ${runner} named ${perSecond} a second and got ${use.worst} of ${use.allowed}`,
      ];
    });
  }

  async #run(source: random.RandomSource): Promise<void> {
    await this.#sleep(START_MS);
    const roles = ["plain", "decode", "prefill"] as const;
    const role = roles[source.nextInteger(roles.length)] ?? "plain";
    const limit = MIN_PER_SECOND + source.nextInteger(PER_SECOND_RANGE);
    const from = performance.now();
    const runners = [...this.#cluster.runners.values()].filter((one) => one.role === role);
    for (const { child } of runners) child.process.sendMessage({ limit });
    await this.#sleep(MIN_LIMIT_MS + source.nextInteger(MAX_EXTRA_MS));
    const to = performance.now();
    for (const { id, child } of runners) {
      this.#named.push({ runner: id, perSecond: limit, from, to });
      child.process.sendMessage({ limit: null });
    }
  }

  /** Arrivals from gateways without a fault in the stable window before. */
  #listCounted(): readonly limitCheck.LimitedArrival[] {
    const { sentCalls, arrivals, gateways } = this.#cluster;
    const names = new Map(sentCalls.map(({ call, gateway }) => [call, gateway]));
    const disturbances = new Map(gateways.map((one) => [one.name, one.disturbances]));
    return arrivals.filter(({ call, at }) =>
      (disturbances.get(names.get(call) ?? "") ?? []).every(
        ({ from, to }) => from > at || to < at - STABLE_WINDOW_MS,
      ),
    );
  }

  async #sleep(durationMs: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const elapsed = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, durationMs);
    });
    await Promise.race([elapsed, this.#stopped]);
    clearTimeout(timer);
  }
}
