/** How far one model request has come, over all its places. */
import * as resultCodes from "../protocol/result-codes.js";
import * as routing from "../routing/types.js";
import type * as runners from "../runners/types.js";
import * as answers from "./answers.js";
import type * as types from "./types.js";

/** What one place brought. */
export type RunResult =
  /** The caller has its answer. */
  | { readonly kind: "done" }
  | { readonly kind: "noPlace"; readonly retryAfterMs: number }
  /** Nothing ran; the runner is not to be asked again if it cannot be reached. */
  | { readonly kind: "notRun"; readonly reason: string; readonly excluded: string | undefined }
  /** It ran, or may have run, and broke off. */
  | { readonly kind: "broken"; readonly reason: string; readonly excluded: string | undefined };

/** A prompt that a runner has read and keeps for a short while. */
export interface PrefilledPrompt {
  readonly runner: runners.Runner;
  readonly handle: string;
  /** Monotonic time after which the runner no longer keeps it. */
  readonly expiresAt: number;
}

/** When to come back after runners that were full. */
const FULL_RETRY_MS = 300;

/** What was delivered, and what may still be tried. */
export class ModelProgress {
  readonly #call: types.ServedCall;
  readonly #excluded = new Set<string>();
  #places = 0;
  #runs = 0;
  #events = 0;
  #lastEventId: string | undefined;
  #last: RunResult | undefined;
  #prefilled: PrefilledPrompt | undefined;
  #lastEventAt: number | undefined;
  #cachedBy: string | undefined;

  constructor(call: types.ServedCall) {
    this.#call = call;
    this.#lastEventId = call.head.lastEventId;
  }

  /** Places that were tried. */
  get places(): number {
    return this.#places;
  }

  /** Events that the caller has got. */
  get events(): number {
    return this.#events;
  }

  /** Whether the caller has the head of its answer. */
  get started(): boolean {
    return this.#call.reply.started;
  }

  /** A prompt that was read for this request and not fetched yet. */
  get prefilled(): PrefilledPrompt | undefined {
    return this.#prefilled;
  }

  /** The runner that was last sent the prompt to read. */
  get cachedBy(): string | undefined {
    return this.#cachedBy;
  }

  recordPrefillSent(runnerId: string): void {
    this.#cachedBy = runnerId;
  }

  /** Monotonic time of the last event that was passed on. */
  get lastEventAt(): number | undefined {
    return this.#lastEventAt;
  }

  get excluded(): ReadonlySet<string> {
    return this.#excluded;
  }

  /** Id of the last event that the caller has; a next run goes on behind it. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether another place may be tried after the last one. */
  get repeatable(): boolean {
    const last = this.#last;
    if (last?.kind === "notRun") return true;
    if (last?.kind !== "broken") return false;
    return this.#isIdempotent() && this.#runs < this.#call.route.maxAttempts && this.#canGoOn();
  }

  /** Records events that were passed on. */
  recordEvents(count: number, lastId: string | undefined, now: number): void {
    this.#lastEventAt = now;
    this.#events += count;
    this.#lastEventId = lastId ?? this.#lastEventId;
  }

  /** Keeps a prompt that was read, or (`undefined`) notes that it was used. */
  setPrefilled(prefilled: PrefilledPrompt | undefined): void {
    this.#prefilled = prefilled;
  }

  recordFailure(result: RunResult): void {
    this.#last = result;
    this.#places += 1;
    if (result.kind === "broken") this.#runs += 1;
    const isNamed = result.kind === "broken" || result.kind === "notRun";
    if (isNamed && result.excluded !== undefined) this.#excluded.add(result.excluded);
  }

  /** Returns the final answer after the last failure. */
  createError(): resultCodes.RequestError {
    const last = this.#last;
    const hasRun = this.#runs > 0;
    if (last?.kind === "broken") return answers.createFailure(last.reason);
    if (hasRun) return answers.createFailure("broke off and found no other place");
    if (last?.kind === "noPlace") return answers.createRefusal(last.retryAfterMs, "pool is full");
    return answers.createRefusal(FULL_RETRY_MS, last?.kind === "notRun" ? last.reason : "");
  }

  #isIdempotent(): boolean {
    const { kind, resumable } = this.#call.route;
    return kind === routing.CALL_KIND.safe || resumable;
  }

  /** A stream goes on only behind an event with an id. */
  #canGoOn(): boolean {
    return this.#events === 0 ? !this.started : this.#lastEventId !== undefined;
  }
}
