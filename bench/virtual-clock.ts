/** Discrete-event clock: a binary heap of timers that fire in order without real waiting. */
import type * as clocks from "../src/kernel/clock.js";

interface Timer {
  readonly dueAt: number;
  /** Position among the scheduled timers; orders timers that are due at the same time. */
  readonly sequence: number;
  callback: (() => void) | undefined;
}

/** A clock whose time advances only in `run`. */
export class VirtualClock implements clocks.Clock {
  readonly #heap: Timer[] = [];
  #now = 0;
  #nextSequence = 0;

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#now;
  }

  schedule(delayMs: number, callback: () => void): () => void {
    const timer: Timer = {
      dueAt: this.#now + Math.max(0, delayMs),
      sequence: this.#nextSequence,
      callback,
    };
    this.#nextSequence += 1;
    this.#push(timer);
    return () => {
      timer.callback = undefined;
    };
  }

  /**
   * Advances time to `until`. Fires each due timer, then drains the microtask queue before the next
   * timer.
   */
  async run(until: number): Promise<void> {
    await drainMicrotasks();
    for (
      let next = this.#heap[0];
      next !== undefined && next.dueAt <= until;
      next = this.#heap[0]
    ) {
      this.#pop();
      if (next.callback === undefined) continue;
      this.#now = next.dueAt;
      next.callback();
      await drainMicrotasks();
    }
    this.#now = Math.max(this.#now, until);
  }

  #push(timer: Timer): void {
    const heap = this.#heap;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || isBefore(above, timer)) break;
      heap[index] = above;
      index = parent;
    }
    heap[index] = timer;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const leftTimer = heap[left];
      const rightTimer = heap[right];
      if (leftTimer === undefined) break;
      const takeRight = rightTimer !== undefined && isBefore(rightTimer, leftTimer);
      const child = takeRight ? rightTimer : leftTimer;
      if (isBefore(last, child)) break;
      heap[index] = child;
      index = takeRight ? right : left;
    }
    heap[index] = last;
  }
}

function isBefore(left: Timer, right: Timer): boolean {
  return left.dueAt < right.dueAt || (left.dueAt === right.dueAt && left.sequence < right.sequence);
}

function drainMicrotasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
