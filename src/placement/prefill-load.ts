/** The prompts that a scheduler has sent to one prefill runner. */

/** Speed before any prompt was measured, in tokens a millisecond. */
const FIRST_TOKENS_PER_MS = 40;
/** Weight of the newest measurement. */
const SPEED_WEIGHT = 0.1;
/** A prompt that is not read after this time is forgotten. */
const EXPIRY_MS = 3_000;

interface PendingPrompt {
  readonly tokens: number;
  readonly sentAt: number;
  /** Tokens that were ahead of it. */
  readonly ahead: number;
}

/** What a prefill runner still has to read, and how fast it reads. */
export class PrefillLoad {
  readonly #pending = new Map<string, PendingPrompt>();
  #tokensPerMs = FIRST_TOKENS_PER_MS;

  /** How fast it reads. */
  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Returns the expected time until all pending prompts are read. */
  computeWait(): number {
    return this.#countTokens() / this.#tokensPerMs;
  }

  /** Returns the expected time to read a prompt with nothing ahead of it. */
  computeReadTime(tokens: number): number {
    return tokens / this.#tokensPerMs;
  }

  add(key: string, tokens: number, now: number): void {
    this.#pending.set(key, { tokens, sentAt: now, ahead: this.#countTokens() });
  }

  /** Ends a prompt; with the time that its reading took, learns the runner's speed. */
  remove(key: string, prefillMs?: number): boolean {
    const prompt = this.#pending.get(key);
    if (prompt === undefined) return false;
    this.#pending.delete(key);
    if (prefillMs !== undefined && prefillMs > 0) {
      const measured = (prompt.tokens + prompt.ahead / 2) / prefillMs;
      this.#tokensPerMs += SPEED_WEIGHT * (measured - this.#tokensPerMs);
    }
    return true;
  }

  expire(now: number): void {
    for (const [key, prompt] of this.#pending) {
      if (now - prompt.sentAt > EXPIRY_MS) this.#pending.delete(key);
    }
  }

  #countTokens(): number {
    let tokens = 0;
    for (const prompt of this.#pending.values()) tokens += prompt.tokens;
    return tokens;
  }
}
