/** Where streams began: the start of the runner that wrote the first event, by client attempt. */
import * as lru from "lru-cache";
import * as zod from "zod";
import type * as clocks from "../kernel/clock.js";

/** Time for which an origin is kept; a stream and its caller's tries end within it. */
const ORIGIN_LIFETIME_MS = 60_000;
/** Limit on the origins kept. The oldest is evicted first: its stream cannot be resumed from this VM's records. */
const MAX_ORIGINS = 20_000;
const MAX_NAME_LENGTH = 200;

const name = zod.string().min(1).max(MAX_NAME_LENGTH);

/** Schema of an origin in messages between VMs. */
export const originSchema = zod.object({
  /** Id of the client attempt. */
  attempt: name,
  service: name,
  runner: name,
  /** Number of the run in its attempt. A later run replaces an earlier one, which brought no event. */
  run: zod.int().min(0),
  /** Start time of the runner's process in Unix milliseconds; absent when it is not known. */
  bornAt: zod.number().optional(),
  /** Version of that start, if its registry entry was known. */
  softwareVersion: zod.string().max(MAX_NAME_LENGTH).optional(),
});

/** Where the stream of one client attempt began. */
export type StreamOrigin = zod.infer<typeof originSchema>;

interface KeptOrigin {
  readonly origin: StreamOrigin;
  readonly keptAt: number;
}

/** Bounded table of origins by client attempt. */
export class StreamOrigins {
  readonly #clock: clocks.Clock;
  readonly #origins = new lru.LRUCache<string, KeptOrigin>({ max: MAX_ORIGINS });

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Keeps an origin, unless that of a later run is known. */
  set(origin: StreamOrigin): void {
    const known = this.find(origin.attempt);
    if (known !== undefined && known.run > origin.run) return;
    this.#origins.set(origin.attempt, { origin, keptAt: this.#clock.now() });
  }

  find(attempt: string): StreamOrigin | undefined {
    const kept = this.#origins.get(attempt);
    if (kept === undefined) return undefined;
    if (this.#clock.now() - kept.keptAt <= ORIGIN_LIFETIME_MS) return kept.origin;
    this.#origins.delete(attempt);
    return undefined;
  }
}
