/** Tracks the prompts that a scheduler has sent to one prefill runner. */

/** Prefill speed until the first sample. */
const INITIAL_TOKENS_PER_MS = 40;
/** Weight of each prompt of a sample in the moving average. */
const SPEED_SMOOTHING_FACTOR = 0.1;
/** Number of prompts after which a sample ends even if the runner stays busy. */
const MAX_SAMPLE_PROMPTS = 8;
/** Time after which a pending prompt is dropped. */
const PENDING_TIMEOUT_MS = 3_000;

interface PendingPrompt {
  readonly tokens: number;
  readonly sentAt: number;
}

/** A period without idle time, as a speed sample. */
interface BusyPeriod {
  readonly startedAt: number;
  tokens: number;
  prompts: number;
}

/** The pending prompts of a prefill runner and its speed. */
export class PrefillLoad {
  readonly #pending = new Map<string, PendingPrompt>();
  #tokensPerMs = INITIAL_TOKENS_PER_MS;
  #busyPeriod: BusyPeriod | undefined;

  /** Estimated prefill speed. */
  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Returns the expected time until all pending prompts are processed. */
  computeQueueTime(): number {
    let tokens = 0;
    for (const prompt of this.#pending.values()) tokens += prompt.tokens;
    return tokens / this.#tokensPerMs;
  }

  /** Returns the expected time to process a prompt on an idle runner. */
  computePrefillTime(tokens: number): number {
    return tokens / this.#tokensPerMs;
  }

  add(key: string, tokens: number, now: number): void {
    if (this.#pending.size === 0) this.#busyPeriod = { startedAt: now, tokens: 0, prompts: 0 };
    this.#pending.set(key, { tokens, sentAt: now });
  }

  /**
   * Removes a prompt, and updates the speed estimate if `prefillMs` is given; returns whether the
   * prompt was pending.
   */
  remove(key: string, prefillMs?: number): boolean {
    const prompt = this.#pending.get(key);
    if (prompt === undefined) return false;
    this.#pending.delete(key);
    // A failed prompt may have been processed in part, which makes the whole sample useless.
    if (prefillMs === undefined) this.#busyPeriod = undefined;
    else this.#recordCompletion(prompt, prefillMs);
    return true;
  }

  expire(now: number): void {
    for (const [key, prompt] of this.#pending) {
      if (now - prompt.sentAt > PENDING_TIMEOUT_MS) this.#pending.delete(key);
    }
  }

  /**
   * Adds a prompt to the sample of its busy period. Prompts are processed concurrently, so the time
   * of a single prompt says little: speed is all tokens of a busy period over the length of that
   * period.
   */
  #recordCompletion(prompt: PendingPrompt, prefillMs: number): void {
    const period = this.#busyPeriod;
    if (period === undefined) return;
    period.tokens += prompt.tokens;
    period.prompts += 1;
    const isOver = this.#pending.size === 0 || period.prompts >= MAX_SAMPLE_PROMPTS;
    if (!isOver) return;
    const endedAt = prompt.sentAt + prefillMs;
    this.#recordSpeed(period, endedAt - period.startedAt);
    this.#busyPeriod = { startedAt: endedAt, tokens: 0, prompts: 0 };
  }

  #recordSpeed(period: BusyPeriod, durationMs: number): void {
    if (durationMs <= 0) return;
    const weight = 1 - (1 - SPEED_SMOOTHING_FACTOR) ** period.prompts;
    this.#tokensPerMs += weight * (period.tokens / durationMs - this.#tokensPerMs);
  }
}
