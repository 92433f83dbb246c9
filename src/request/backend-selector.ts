/** Selects backends of plain services: local zone first, exponential backoff after failures. */
import * as lru from "lru-cache";
import type * as clocks from "../kernel/clock.js";
import type * as random from "../kernel/random.js";
import type * as document from "../settings/document.js";

const FIRST_BACKOFF_MS = 250;
/** Maximum backoff before jitter of ±25%. */
const MAX_BACKOFF_MS = 10_000;
const MAX_TRACKED_BACKENDS = 10_000;

/** A backend of a plain service. */
export type Backend = document.PlainService["backends"][number];

/** Health of a backend whose last call failed. */
interface BackendHealth {
  readonly failures: number;
  /** Monotonic time until which the backend is not selected while others are healthy. */
  readonly backoffUntil: number;
}

/** Selects backends and tracks their health by address. */
export class BackendSelector {
  readonly #clock: clocks.Clock;
  readonly #random: random.RandomSource;
  readonly #zone: string;
  readonly #health = new lru.LRUCache<string, BackendHealth>({ max: MAX_TRACKED_BACKENDS });

  constructor(clock: clocks.Clock, randomSource: random.RandomSource, zone: string) {
    this.#clock = clock;
    this.#random = randomSource;
    this.#zone = zone;
  }

  /**
   * Returns a backend that is not in `tried`: a healthy one in the local zone, else a healthy one
   * in another zone, else the one whose backoff ends first. A backend whose backoff has expired counts
   * as healthy.
   *
   * @returns `undefined` if all backends are in `tried`.
   */
  choose(service: document.PlainService, tried: ReadonlySet<string>): Backend | undefined {
    const untried = service.backends.filter((backend) => !tried.has(backend.name));
    const healthy = untried.filter((backend) => this.#isHealthy(backend));
    const local = healthy.filter((backend) => backend.zone === this.#zone);
    const chosen = this.#chooseRandom(local.length > 0 ? local : healthy);
    if (chosen === undefined) return this.#chooseEarliest(untried);
    this.#markProbe(chosen);
    return chosen;
  }

  /** Records that a backend answered, which resets its backoff. */
  recordSuccess(backend: Backend): void {
    this.#health.delete(formatAddress(backend));
  }

  /** Records that a backend failed. Its backoff doubles with each consecutive failure. */
  recordFailure(backend: Backend): void {
    const failures = (this.#health.get(formatAddress(backend))?.failures ?? 0) + 1;
    this.#setBackoff(backend, failures);
  }

  /** Renews an expired backoff, so that a single call probes the backend while others avoid it. */
  #markProbe(backend: Backend): void {
    const health = this.#health.get(formatAddress(backend));
    if (health) this.#setBackoff(backend, health.failures);
  }

  #setBackoff(backend: Backend, failures: number): void {
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (failures - 1));
    const jitteredMs = backoffMs * (0.75 + this.#random.nextFloat() / 2);
    const backoffUntil = this.#clock.now() + jitteredMs;
    this.#health.set(formatAddress(backend), { failures, backoffUntil });
  }

  #isHealthy(backend: Backend): boolean {
    const health = this.#health.get(formatAddress(backend));
    return health === undefined || health.backoffUntil <= this.#clock.now();
  }

  #chooseRandom(backends: readonly Backend[]): Backend | undefined {
    return backends[this.#random.nextInteger(Math.max(1, backends.length))];
  }

  #chooseEarliest(backends: readonly Backend[]): Backend | undefined {
    const getBackoffEnd = (backend: Backend): number =>
      this.#health.get(formatAddress(backend))?.backoffUntil ?? 0;
    return [...backends].sort((first, second) => getBackoffEnd(first) - getBackoffEnd(second))[0];
  }
}

function formatAddress(backend: Backend): string {
  return `${backend.host}:${backend.port}`;
}
