/** A queue that forwards chunks of bytes in order, each after a delay. */

interface DelayedChunk {
  readonly bytes: Buffer;
  readonly dueAt: number;
}

/** Delays chunks of bytes; the delay may change between chunks, and their order is kept. */
export class DelayLine {
  readonly #write: (bytes: Buffer) => void;
  readonly #chunks: DelayedChunk[] = [];
  #timer: NodeJS.Timeout | undefined;
  #onEmpty: (() => void) | undefined;

  constructor(write: (bytes: Buffer) => void) {
    this.#write = write;
  }

  push(bytes: Buffer, delayMs: number): void {
    const previous = this.#chunks.at(-1)?.dueAt ?? 0;
    this.#chunks.push({ bytes, dueAt: Math.max(previous, performance.now() + delayMs) });
    this.#flush();
  }

  /** Calls `onEmpty` when all chunks are written. */
  close(onEmpty: () => void): void {
    this.#onEmpty = onEmpty;
    this.#flush();
  }

  #flush(): void {
    clearTimeout(this.#timer);
    for (;;) {
      const next = this.#chunks[0];
      if (next === undefined) break;
      const waitMs = next.dueAt - performance.now();
      if (waitMs > 0) {
        this.#timer = setTimeout(() => {
          this.#flush();
        }, waitMs);
        return;
      }
      this.#chunks.shift();
      this.#write(next.bytes);
    }
    this.#onEmpty?.();
  }
}
