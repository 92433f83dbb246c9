/** Queue between producers that never wait and a single consumer that iterates. */

interface Waiter<Item> {
  readonly resolve: (result: IteratorResult<Item, undefined>) => void;
  readonly reject: (reason: unknown) => void;
}

/**
 * Queue whose items may be followed by an end or an error. It is unbounded: the producer limits it.
 *
 * @example queue.push(1); queue.close(); for await (const item of queue) print(item);
 */
export class AsyncQueue<Item> implements AsyncIterableIterator<Item, undefined> {
  readonly #items: Item[] = [];
  #waiter: Waiter<Item> | undefined;
  #closed = false;
  #error: Error | undefined;

  /** Number of items not yet taken by the consumer. */
  get length(): number {
    return this.#items.length;
  }

  /** Adds an item; ignored after `close`. */
  push(item: Item): void {
    if (this.#closed) return;
    const waiter = this.#waiter;
    if (waiter === undefined) {
      this.#items.push(item);
      return;
    }
    this.#waiter = undefined;
    waiter.resolve({ done: false, value: item });
  }

  /** Ends the queue after its remaining items, optionally with an error. */
  close(error?: Error): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#error = error;
    const waiter = this.#waiter;
    this.#waiter = undefined;
    if (error === undefined) waiter?.resolve({ done: true, value: undefined });
    else waiter?.reject(error);
  }

  next(): Promise<IteratorResult<Item, undefined>> {
    if (this.#items.length > 0) {
      return Promise.resolve({ done: false, value: this.#items.shift() as Item });
    }
    if (this.#error !== undefined) return Promise.reject(this.#error);
    if (this.#closed) return Promise.resolve({ done: true, value: undefined });
    return new Promise((resolve, reject) => {
      this.#waiter = { resolve, reject };
    });
  }

  return(): Promise<IteratorResult<Item, undefined>> {
    this.close();
    this.#items.length = 0;
    return Promise.resolve({ done: true, value: undefined });
  }

  [Symbol.asyncIterator](): this {
    return this;
  }
}
