/** An unbounded queue between a producer that never blocks and a single iterating consumer. */

interface Waiter<Item> {
  readonly resolve: (result: IteratorResult<Item, undefined>) => void;
  readonly reject: (reason: unknown) => void;
}

interface Termination {
  readonly error: Error | undefined;
}

/**
 * A queue of items that is terminated by its end or by an error.
 *
 * @example queue.push(1); queue.close(); for await (const item of queue) print(item);
 */
export class AsyncQueue<Item> implements AsyncIterableIterator<Item, undefined> {
  readonly #items: Item[] = [];
  readonly #onReturn: (() => void) | undefined;
  #waiter: Waiter<Item> | undefined;
  #termination: Termination | undefined;

  /** @param onReturn - called when the consumer stops iterating early. */
  constructor(onReturn?: () => void) {
    this.#onReturn = onReturn;
  }

  /** Whether the queue is closed, so that no more items can be pushed. */
  get closed(): boolean {
    return this.#termination !== undefined;
  }

  /** Adds an item; ignored after the queue is closed. */
  push(item: Item): void {
    if (this.closed) return;
    const waiter = this.#waiter;
    if (waiter === undefined) {
      this.#items.push(item);
      return;
    }
    this.#waiter = undefined;
    waiter.resolve({ done: false, value: item });
  }

  /** Closes the queue; its consumer receives the remaining items, then the end or `error`. */
  close(error?: Error): void {
    if (this.closed) return;
    this.#termination = { error };
    const waiter = this.#waiter;
    this.#waiter = undefined;
    if (waiter === undefined) return;
    if (error === undefined) waiter.resolve({ done: true, value: undefined });
    else waiter.reject(error);
  }

  next(): Promise<IteratorResult<Item, undefined>> {
    if (this.#items.length > 0) {
      return Promise.resolve({ done: false, value: this.#items.shift() as Item });
    }
    if (this.#termination?.error !== undefined) return Promise.reject(this.#termination.error);
    if (this.closed) return Promise.resolve({ done: true, value: undefined });
    return new Promise((resolve, reject) => {
      this.#waiter = { resolve, reject };
    });
  }

  return(): Promise<IteratorResult<Item, undefined>> {
    this.close();
    this.#items.length = 0;
    this.#onReturn?.();
    return Promise.resolve({ done: true, value: undefined });
  }

  [Symbol.asyncIterator](): this {
    return this;
  }
}
