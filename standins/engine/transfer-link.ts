/** A link of limited rate that concurrent transfers share equally. */
import type * as clocks from "../../src/kernel/clock.js";

interface Transfer {
  remainingBytes: number;
  readonly finish: () => void;
}

/** A transfer with at most this much remaining is complete; absorbs the rounding of timers. */
const EPSILON_BYTES = 1;
const MS_PER_SECOND = 1000;

/**
 * Emulates a link with processor sharing.
 *
 * @example const link = new TransferLink(clock, 10e9); await link.send(64_000_000, signal);
 */
export class TransferLink {
  readonly #clock: clocks.Clock;
  readonly #transfers = new Set<Transfer>();
  #bytesPerSecond: number;
  #updatedAt: number;
  #stalled = false;
  #cancelTimer: (() => void) | undefined;

  constructor(clock: clocks.Clock, bytesPerSecond: number) {
    this.#clock = clock;
    this.#bytesPerSecond = bytesPerSecond;
    this.#updatedAt = clock.now();
  }

  /** Number of transfers in progress. */
  get activeTransfers(): number {
    return this.#transfers.size;
  }

  /** Changes the rate from now on. */
  setRate(bytesPerSecond: number): void {
    this.#updateProgress();
    this.#bytesPerSecond = bytesPerSecond;
    this.#scheduleNext();
  }

  /** Stalls or resumes all transfers without an error. */
  setStalled(stalled: boolean): void {
    this.#updateProgress();
    this.#stalled = stalled;
    this.#scheduleNext();
  }

  /**
   * Waits until `bytes` have been transferred.
   *
   * @throws the signal's reason if `signal` aborts first.
   */
  async send(bytes: number, signal: AbortSignal): Promise<void> {
    signal.throwIfAborted();
    await new Promise<void>((resolve, reject) => {
      const onAbort = (): void => {
        this.#remove(transfer);
        reject(signal.reason as Error);
      };
      const finish = (): void => {
        signal.removeEventListener("abort", onAbort);
        resolve();
      };
      const transfer: Transfer = { remainingBytes: bytes, finish };
      signal.addEventListener("abort", onAbort, { once: true });
      this.#updateProgress();
      this.#transfers.add(transfer);
      this.#scheduleNext();
    });
  }

  #remove(transfer: Transfer): void {
    this.#updateProgress();
    this.#transfers.delete(transfer);
    this.#scheduleNext();
  }

  #getTransferRate(): number {
    if (this.#stalled || this.#transfers.size === 0) return 0;
    return this.#bytesPerSecond / this.#transfers.size / MS_PER_SECOND;
  }

  #updateProgress(): void {
    const now = this.#clock.now();
    const sentBytes = this.#getTransferRate() * (now - this.#updatedAt);
    this.#updatedAt = now;
    for (const transfer of this.#transfers) transfer.remainingBytes -= sentBytes;
  }

  #scheduleNext(): void {
    this.#cancelTimer?.();
    this.#cancelTimer = undefined;
    const bytesPerMs = this.#getTransferRate();
    if (bytesPerMs === 0) return;
    const leastRemainingBytes = Math.min(
      ...[...this.#transfers].map((transfer) => transfer.remainingBytes),
    );
    this.#cancelTimer = this.#clock.schedule(Math.max(0, leastRemainingBytes / bytesPerMs), () => {
      this.#finishTransfers();
    });
  }

  #finishTransfers(): void {
    this.#updateProgress();
    for (const transfer of this.#transfers) {
      if (transfer.remainingBytes > EPSILON_BYTES) continue;
      this.#transfers.delete(transfer);
      transfer.finish();
    }
    this.#scheduleNext();
  }
}
