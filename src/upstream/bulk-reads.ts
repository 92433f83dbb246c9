/**
 * Limits how many large bodies of one upstream are read at a time. The others wait unread, which costs neither memory nor time of
 * the process, so that an upstream that sends without end on all its connections does not hold up the calls to other ones.
 */

/** Bytes of a body that are read at once; most bodies are shorter. */
export const FREE_BYTES = 65_536;
const MAX_BULK_READS = 2;

/** Permits to read on large bodies of one upstream. */
export class BulkReads {
  readonly #waiting: (() => void)[] = [];
  #count = 0;

  /**
   * Waits for a permit; returns the function that gives it back.
   *
   * @throws the reason of `signal` when it aborts first.
   */
  async reserve(signal: AbortSignal): Promise<() => void> {
    signal.throwIfAborted();
    if (this.#count >= MAX_BULK_READS) await this.#wait(signal);
    this.#count += 1;
    let isHeld = true;
    return () => {
      if (!isHeld) return;
      isHeld = false;
      this.#count -= 1;
      this.#waiting.shift()?.();
    };
  }

  #wait(signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const onAbort = (): void => {
        this.#waiting.splice(this.#waiting.indexOf(resume), 1);
        reject(signal.reason as Error);
      };
      const resume = (): void => {
        signal.removeEventListener("abort", onAbort);
        resolve();
      };
      this.#waiting.push(resume);
      signal.addEventListener("abort", onAbort, { once: true });
    });
  }
}
