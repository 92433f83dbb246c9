/** Chooses backends of plain services: the own zone first, failing ones eased off and probed again. */
import * as lru from "lru-cache";
import type * as clocks from "../kernel/clock.js";
import type * as random from "../kernel/random.js";
import type * as document from "../settings/document.js";

const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 10_000;
const MAX_BACKENDS = 10_000;

/** A backend of a plain service. */
export type Backend = document.PlainService["backends"][number];

interface Health {
  readonly failures: number;
  /** Monotonic time until which the backend is passed over. */
  readonly avoidUntil: number;
}

/** Keeps the health of backends by address; at its limit the least recently used is forgotten. */
export class BackendSelector {
  readonly #clock: clocks.Clock;
  readonly #random: random.RandomSource;
  readonly #zone: string;
  readonly #health = new lru.LRUCache<string, Health>({ max: MAX_BACKENDS });

  constructor(clock: clocks.Clock, randomSource: random.RandomSource, zone: string) {
    this.#clock = clock;
    this.#random = randomSource;
    this.#zone = zone;
  }

  /**
   * Chooses a backend that is not in `tried`: a healthy one of the own zone, else of another zone,
   * else the one whose time of easing off ends first.
   */
  choose(service: document.PlainService, tried: ReadonlySet<string>): Backend | undefined {
    const untried = service.backends.filter((backend) => !tried.has(backend.name));
    const healthy = untried.filter((backend) => this.#isHealthy(backend));
    const near = healthy.filter((backend) => backend.zone === this.#zone);
    const chosen = this.#chooseAny(near.length > 0 ? near : healthy);
    if (chosen === undefined) return this.#chooseSoonest(untried);
    this.#markProbe(chosen);
    return chosen;
  }

  /** Records that a backend answered. */
  recordSuccess(backend: Backend): void {
    this.#health.delete(formatKey(backend));
  }

  /** Records that a backend failed; it is passed over for a time that doubles with each failure. */
  recordFailure(backend: Backend): void {
    const failures = (this.#health.get(formatKey(backend))?.failures ?? 0) + 1;
    this.#setAvoided(backend, failures);
  }

  /** After easing off, one call probes the backend while the others keep away. */
  #markProbe(backend: Backend): void {
    const health = this.#health.get(formatKey(backend));
    if (health) this.#setAvoided(backend, health.failures);
  }

  #setAvoided(backend: Backend, failures: number): void {
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (failures - 1));
    const jitteredMs = backoffMs * (0.75 + this.#random.nextFloat() / 2);
    const avoidUntil = this.#clock.now() + jitteredMs;
    this.#health.set(formatKey(backend), { failures, avoidUntil });
  }

  #isHealthy(backend: Backend): boolean {
    const health = this.#health.get(formatKey(backend));
    return health === undefined || health.avoidUntil <= this.#clock.now();
  }

  #chooseAny(backends: readonly Backend[]): Backend | undefined {
    return backends[this.#random.nextInteger(Math.max(1, backends.length))];
  }

  #chooseSoonest(backends: readonly Backend[]): Backend | undefined {
    const getTime = (backend: Backend): number =>
      this.#health.get(formatKey(backend))?.avoidUntil ?? 0;
    return [...backends].sort((first, second) => getTime(first) - getTime(second))[0];
  }
}

function formatKey(backend: Backend): string {
  return `${backend.host}:${backend.port}`;
}
