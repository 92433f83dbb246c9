/** Models of a pool's runners with the speed and the memory management of the engines. */

/**
 * Prefill speed including round trips, from the deployments' logs; the engine alone reaches 55.6
 * tokens per millisecond.
 */
const PREFILL_TOKENS_PER_MS = 50;
/** A decode runner prefills at half the speed, and its other runs pause meanwhile. */
const DECODE_RUNNER_PREFILL_TOKENS_PER_MS = PREFILL_TOKENS_PER_MS / 2;
/** Duration of a decode step with few runs, and the increment per run, as on the deployments. */
const STEP_BASE_MS = 0.57;
const STEP_MS_PER_RUN = 0.026;
/** Maximum pause between two events; a longer one makes the response late. */
const MAX_PAUSE_MS = 300;

/** A prefill runner, which processes prompts one after another. */
export class PrefillModel {
  #freeAt = 0;

  /** Returns the time until a prompt that arrives now is processed. */
  add(tokens: number, now: number): number {
    this.#freeAt = Math.max(now, this.#freeAt) + tokens / PREFILL_TOKENS_PER_MS;
    return this.#freeAt - now;
  }
}

/** Callbacks of a run. */
export interface RunEvents {
  onFirstEvent(): void;
  /** A pause between events made the response late. */
  onPause(): void;
}

/** One run on a decode runner. */
export class ModelRun {
  readonly key: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly startsAt: number;
  readonly #events: RunEvents;
  #generatedTokens = 0;
  #pausedMs = 0;

  constructor(
    key: string,
    promptTokens: number,
    outputTokens: number,
    startsAt: number,
    events: RunEvents,
  ) {
    this.key = key;
    this.promptTokens = promptTokens;
    this.outputTokens = outputTokens;
    this.startsAt = startsAt;
    this.#events = events;
  }

  get tokens(): number {
    return this.promptTokens + this.#generatedTokens;
  }

  get isDone(): boolean {
    return this.#generatedTokens >= this.outputTokens;
  }

  /** Generates tokens for a time. */
  step(durationMs: number, msPerToken: number): void {
    if (durationMs <= 0) return;
    if (this.#generatedTokens === 0) this.#events.onFirstEvent();
    this.#generatedTokens += durationMs / msPerToken;
  }

  /** Extends the current pause, or ends it when the duration is 0. */
  recordPause(durationMs: number): void {
    this.#pausedMs = durationMs > 0 ? this.#pausedMs + durationMs : 0;
    if (this.#generatedTokens > 0 && this.#pausedMs > MAX_PAUSE_MS) this.#events.onPause();
  }
}

interface PendingPrefill {
  readonly run: ModelRun;
  leftTokens: number;
}

/** A decode runner, which preempts its newest run when it is short of memory. */
export class DecodeModel {
  readonly #capacityTokens: number;
  #runs: ModelRun[] = [];
  /** Prompts that are prefilled on this runner, in order. */
  readonly #pendingPrefills: PendingPrefill[] = [];
  readonly #preemptedRuns: ModelRun[] = [];
  /** Number of preemptions. */
  preempted = 0;
  /** Tokens that were prefilled again after a preemption. */
  recomputedTokens = 0;

  constructor(capacityTokens: number) {
    this.#capacityTokens = capacityTokens;
  }

  /** Adds a run whose prompt was prefilled on another runner. */
  add(run: ModelRun): void {
    this.#runs.push(run);
  }

  /** Adds a run whose prompt is prefilled on this runner. */
  addForPrefill(run: ModelRun): void {
    this.#pendingPrefills.push({ run, leftTokens: run.tokens });
  }

  /** Advances the model by a time; returns the runs that have ended. */
  step(durationMs: number): readonly ModelRun[] {
    this.#resumePreempted();
    const prefillMs = this.#prefill(durationMs);
    const msPerToken = STEP_BASE_MS + STEP_MS_PER_RUN * this.#runs.length;
    for (const run of this.#runs) {
      run.recordPause(prefillMs);
      run.step(durationMs - prefillMs, msPerToken);
    }
    for (const run of this.#preemptedRuns) run.recordPause(durationMs);
    const ended = this.#runs.filter((run) => run.isDone);
    this.#runs = this.#runs.filter((run) => !run.isDone);
    this.#preempt();
    return ended;
  }

  /** Prefills for a time; returns how much of it was used. */
  #prefill(durationMs: number): number {
    let leftMs = durationMs;
    for (;;) {
      const next = this.#pendingPrefills[0];
      if (next === undefined || leftMs <= 0) return durationMs - leftMs;
      const prefillMs = Math.min(leftMs, next.leftTokens / DECODE_RUNNER_PREFILL_TOKENS_PER_MS);
      leftMs -= prefillMs;
      next.leftTokens -= prefillMs * DECODE_RUNNER_PREFILL_TOKENS_PER_MS;
      if (next.leftTokens > 0) continue;
      this.#pendingPrefills.shift();
      this.#runs.push(next.run);
    }
  }

  #countTokens(): number {
    const pending = this.#pendingPrefills.reduce((sum, { run }) => sum + run.tokens, 0);
    return this.#runs.reduce((sum, run) => sum + run.tokens, pending);
  }

  #resumePreempted(): void {
    for (;;) {
      const next = this.#preemptedRuns[0];
      if (next === undefined || this.#countTokens() + next.tokens > this.#capacityTokens) return;
      this.#preemptedRuns.shift();
      this.recomputedTokens += next.tokens;
      this.#pendingPrefills.push({ run: next, leftTokens: next.tokens });
    }
  }

  #preempt(): void {
    while (this.#countTokens() > this.#capacityTokens) {
      const newest = this.#runs.pop();
      if (newest === undefined) return;
      this.preempted += 1;
      this.#preemptedRuns.push(newest);
    }
  }
}
