/** Limits the bytes of bodies that all calls of a process hold at a time. */
import * as verror from "verror";
import type * as clocks from "./clock.js";

const BYTES_PER_MB = 1_000_000;
/** Limit of a process whose memory is not known, or large. */
const MAX_BUFFERED_BYTES = 50_331_648;
const MIN_BUFFERED_BYTES = 8_388_608;
/** Resident memory of a gateway without calls. */
const IDLE_MEMORY_MB = 100;
/**
 * Resident bytes for each buffered one: joining the chunks of a body holds it twice for a moment, and sockets hold what has been
 * received and not read.
 */
const RESIDENT_BYTES_PER_BUFFERED_BYTE = 2.5;
/**
 * Time after a release for which its bytes still count: until the next garbage collection they are resident. It also limits how
 * fast the process reads bodies that it then drops.
 */
export const RELEASE_LAG_MS = 500;
/** Releases of fewer bytes are not tracked; they are reused or collected soon. */
const MIN_TRACKED_BYTES = 16_384;

/** Returns the limit of a gateway on a machine with the given memory; `undefined` if it is not known. */
export function computeMaxBufferedBytes(memoryMb: number | undefined): number {
  if (memoryMb === undefined) return MAX_BUFFERED_BYTES;
  const freeBytes = (memoryMb - IDLE_MEMORY_MB) * BYTES_PER_MB;
  const bytes = Math.floor(freeBytes / RESIDENT_BYTES_PER_BUFFERED_BYTE);
  return Math.min(MAX_BUFFERED_BYTES, Math.max(MIN_BUFFERED_BYTES, bytes));
}

/** Thrown when a body would exceed what its call may hold. */
export class BufferLimitError extends verror.default.VError {}

/** Settings of a `BufferBudget`. */
export interface BufferBudgetOptions {
  readonly maxBytes: number;
  /** Times the lag of releases; without it, released bytes are free at once. */
  readonly clock?: Pick<clocks.Clock, "now">;
  /** Called when a call is refused further bytes. */
  readonly onRefused?: () => void;
}

interface ReleasedBytes {
  readonly bytes: number;
  readonly freeAt: number;
}

/** The bytes that the calls of a process hold. */
export class BufferBudget {
  readonly #options: BufferBudgetOptions;
  readonly #released: ReleasedBytes[] = [];
  #usedBytes = 0;

  constructor(options: BufferBudgetOptions) {
    this.#options = options;
  }

  /** Bytes that calls hold or that were released a moment ago. */
  get usedBytes(): number {
    this.#updateUsedBytes();
    return this.#usedBytes;
  }

  /** Creates the account of one call. */
  createAccount(): BufferAccount {
    return new BufferAccount({
      add: (ownBytes, bytes) => {
        this.#add(ownBytes, bytes);
      },
      remove: (bytes) => {
        this.#remove(bytes);
      },
    });
  }

  /**
   * A call may hold as much as remains free (dynamic threshold), so that a few large bodies always leave room for small
   * ones. Source: Choudhury and Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches", 1998.
   */
  #add(ownBytes: number, bytes: number): void {
    this.#updateUsedBytes();
    const { maxBytes, onRefused } = this.#options;
    const freeBytes = maxBytes - this.#usedBytes - bytes;
    if (ownBytes + bytes > freeBytes) {
      onRefused?.();
      throw new BufferLimitError("call may not buffer %d bytes, %d are free", bytes, freeBytes);
    }
    this.#usedBytes += bytes;
  }

  #remove(bytes: number): void {
    const { clock } = this.#options;
    if (clock === undefined || bytes < MIN_TRACKED_BYTES) this.#usedBytes -= bytes;
    else this.#released.push({ bytes, freeAt: clock.now() + RELEASE_LAG_MS });
  }

  #updateUsedBytes(): void {
    const now = this.#options.clock?.now() ?? 0;
    for (let [first] = this.#released; first !== undefined && first.freeAt <= now;) {
      this.#usedBytes -= first.bytes;
      this.#released.shift();
      [first] = this.#released;
    }
  }
}

interface AccountBudget {
  /** @throws BufferLimitError when the call may not hold `bytes` more. */
  add(ownBytes: number, bytes: number): void;
  remove(bytes: number): void;
}

/** The bytes that one call holds. They are released when it is disposed of. */
export class BufferAccount implements Disposable {
  readonly #budget: AccountBudget;
  #bytes = 0;
  #isDisposed = false;

  constructor(budget: AccountBudget) {
    this.#budget = budget;
  }

  /** @throws BufferLimitError when the call may not hold `bytes` more, or has ended. */
  add(bytes: number): void {
    if (this.#isDisposed) throw new BufferLimitError("call has ended");
    this.#budget.add(this.#bytes, bytes);
    this.#bytes += bytes;
  }

  /** Releases bytes that the call no longer holds. */
  release(bytes: number): void {
    if (this.#isDisposed) return;
    this.#bytes -= bytes;
    this.#budget.remove(bytes);
  }

  [Symbol.dispose](): void {
    this.release(this.#bytes);
    this.#isDisposed = true;
  }
}
