/** The prompts that a scheduler has sent to one prefill runner. */

/** Speed before any prompt was measured, in tokens a millisecond. */
const FIRST_TOKENS_PER_MS = 40;
/** Weight of each prompt of a measurement. */
const SPEED_WEIGHT = 0.1;
/** A measurement ends after this many prompts, though the runner stays busy. */
const MOST_MEASURED_PROMPTS = 8;
/** A prompt that is not read after this time is forgotten. */
const EXPIRY_MS = 3_000;

interface PendingPrompt {
  readonly tokens: number;
  readonly sentAt: number;
}

/** What a runner read without a pause. */
interface BusySpell {
  readonly startedAt: number;
  tokens: number;
  prompts: number;
}

/** What a prefill runner still has to read, and how fast it reads. */
export class PrefillLoad {
  readonly #pending = new Map<string, PendingPrompt>();
  #tokensPerMs = FIRST_TOKENS_PER_MS;
  #spell: BusySpell | undefined;

  /** How fast it reads. */
  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Returns the expected time until all pending prompts are read. */
  computeWait(): number {
    let tokens = 0;
    for (const prompt of this.#pending.values()) tokens += prompt.tokens;
    return tokens / this.#tokensPerMs;
  }

  /** Returns the expected time to read a prompt with nothing ahead of it. */
  computeReadTime(tokens: number): number {
    return tokens / this.#tokensPerMs;
  }

  add(key: string, tokens: number, now: number): void {
    if (this.#pending.size === 0) this.#spell = { startedAt: now, tokens: 0, prompts: 0 };
    this.#pending.set(key, { tokens, sentAt: now });
  }

  /** Ends a prompt; with the time that its reading took, learns the runner's speed. */
  remove(key: string, prefillMs?: number): boolean {
    const prompt = this.#pending.get(key);
    if (prompt === undefined) return false;
    this.#pending.delete(key);
    // A prompt that failed may have been read in part: the spell says nothing about speed.
    if (prefillMs === undefined) this.#spell = undefined;
    else this.#recordRead(prompt, prefillMs);
    return true;
  }

  expire(now: number): void {
    for (const [key, prompt] of this.#pending) {
      if (now - prompt.sentAt > EXPIRY_MS) this.#pending.delete(key);
    }
  }

  /** Speed is what was read in a spell against its length, since prompts are read beside each other. */
  #recordRead(prompt: PendingPrompt, prefillMs: number): void {
    const spell = this.#spell;
    if (spell === undefined) return;
    spell.tokens += prompt.tokens;
    spell.prompts += 1;
    const isOver = this.#pending.size === 0 || spell.prompts >= MOST_MEASURED_PROMPTS;
    if (!isOver) return;
    const endedAt = prompt.sentAt + prefillMs;
    this.#recordSpeed(spell, endedAt - spell.startedAt);
    this.#spell = { startedAt: endedAt, tokens: 0, prompts: 0 };
  }

  #recordSpeed(spell: BusySpell, durationMs: number): void {
    if (durationMs <= 0) return;
    const weight = 1 - (1 - SPEED_WEIGHT) ** spell.prompts;
    this.#tokensPerMs += weight * (spell.tokens / durationMs - this.#tokensPerMs);
  }
}
