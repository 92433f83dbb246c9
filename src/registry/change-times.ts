/** Measures where the time of a change goes until it is in force at this VM, for the log. */
import type * as clocks from "../kernel/clock.js";

/** Parts of the time of one change, in ms until now. */
export interface ChangeTimeFields extends Readonly<Partial<Record<string, number>>> {
  /** Since this VM first heard of the change. */
  readonly heardMs?: number;
  /** Since the pull began that brought it. */
  readonly pullMs?: number;
  /** Since its last byte was received. */
  readonly receivedMs?: number;
  readonly receivedBytes?: number;
  /** Tries of a pull that failed since it was first heard of. */
  readonly failedTries?: number;
}

/** Times of the change that is on its way to one registry. */
export class ChangeTimes {
  readonly #clock: clocks.Clock;
  #heardAt: number | undefined;
  #pullBeganAt: number | undefined;
  #receivedAt: number | undefined;
  #receivedBytes = 0;
  #failedTries = 0;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Records that a peer told of a newer change. */
  recordHeard(): void {
    this.#heardAt ??= this.#clock.now();
  }

  recordPullStart(): void {
    this.#pullBeganAt = this.#clock.now();
    this.#receivedAt = undefined;
    this.#receivedBytes = 0;
  }

  recordPart(bytes: number): void {
    this.#receivedBytes += bytes;
  }

  recordReceived(): void {
    this.#receivedAt = this.#clock.now();
  }

  recordFailedTry(): void {
    this.#failedTries += 1;
  }

  /** Returns the times of the change that is put in force now, and begins anew. */
  popFields(): ChangeTimeFields {
    const now = this.#clock.now();
    const compute = (since: number | undefined): number | undefined =>
      since === undefined ? undefined : Math.round(now - since);
    const receivedMs = compute(this.#receivedAt);
    const fields = {
      heardMs: compute(this.#heardAt),
      pullMs: compute(this.#pullBeganAt),
      receivedMs,
      receivedBytes: receivedMs === undefined ? undefined : this.#receivedBytes,
      failedTries: this.#failedTries,
    };
    this.#heardAt = undefined;
    this.#pullBeganAt = undefined;
    this.#receivedAt = undefined;
    this.#failedTries = 0;
    return fields;
  }
}
