/** Progress of one model request over all its placements. */
import * as resultCodes from "../protocol/result-codes.js";
import * as sendAccount from "../request/send-account.js";
import * as routing from "../routing/types.js";
import type * as runners from "../runners/types.js";
import type * as streamOrigins from "../streams/stream-origins.js";
import * as answers from "./answers.js";
import type * as eventSplitter from "./event-splitter.js";
import * as streamRun from "./stream-run.js";
import type * as types from "./types.js";

/** Result of one placement. */
export type RunResult =
  /** The caller has its response. */
  | { readonly kind: "done" }
  /** No placement was granted, its decode runner is no longer listed, or the request is held back. */
  | { readonly kind: "noPlace"; readonly reason?: string; readonly retryAfterMs: number }
  /** Nothing ran; `excluded` is a runner to leave out of further placements. */
  | { readonly kind: "notRun"; readonly reason: string; readonly excluded: string | undefined }
  /** The request ran or may have run, and was interrupted. */
  | { readonly kind: "broken"; readonly reason: string; readonly excluded: string | undefined };

/** A prompt whose KV cache a prefill runner keeps for a short time. */
export interface PrefilledPrompt {
  readonly runner: runners.Runner;
  readonly handle: string;
  /** Monotonic time at which the runner drops the KV cache. */
  readonly expiresAt: number;
}

/** Retry time after runners refused the request. */
const FULL_RETRY_AFTER_MS = 300;

/** Records what was sent to the caller and decides whether another placement may be tried. */
export class ModelProgress {
  /** What the request has sent to runners. */
  readonly account: sendAccount.SendAccount;
  readonly #call: types.ServedCall;
  readonly #excluded = new Set<string>();
  #placementCount = 0;
  #runCount = 0;
  #eventCount = 0;
  #firstEventId: string | undefined;
  #lastEventId: string | undefined;
  #lastResult: RunResult | undefined;
  #prefilled: PrefilledPrompt | undefined;
  #lastEventAt: number | undefined;
  #cachedBy: string | undefined;
  #skipsPrefill = false;
  #softwareVersion: string | undefined;
  #runVersion: string | undefined;
  #origin: Promise<streamOrigins.StreamOrigin> | undefined;

  /** @param softwareVersion - version of a stream that began in another request. */
  constructor(call: types.ServedCall, account: sendAccount.SendAccount, softwareVersion?: string) {
    this.#call = call;
    this.#softwareVersion = softwareVersion;
    this.account = account;
    this.#lastEventId = call.head.lastEventId;
  }

  /** Number of placements that were tried. */
  get placementCount(): number {
    return this.#placementCount;
  }

  /** Number of events that were sent to the caller. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /**
   * Whether the events that were sent hold all output that the request allows, so that a further run has none to add.
   * Unknown, hence false, for a stream that began in another request.
   */
  get isExhausted(): boolean {
    const { head, service } = this.#call;
    const generatedTokens = this.#eventCount * (service.engine?.tokensPerEvent ?? 1);
    return (
      head.lastEventId === undefined &&
      generatedTokens >= (head.prompt?.maxOutputTokens ?? Infinity)
    );
  }

  /** Whether the head of the response was sent to the caller. */
  get started(): boolean {
    return this.#call.reply.started;
  }

  /** A prompt that was prefilled for this request and not fetched yet. */
  get prefilled(): PrefilledPrompt | undefined {
    return this.#prefilled;
  }

  /** The runner to which the prompt was last sent for prefill. */
  get cachedBy(): string | undefined {
    return this.#cachedBy;
  }

  /** Whether the decode runner of the next placement processes the prompt itself. */
  get skipsPrefill(): boolean {
    return this.#skipsPrefill;
  }

  /** Version to which further runs have to keep; `undefined` while the stream has no event. */
  get softwareVersion(): string | undefined {
    return this.#softwareVersion;
  }

  /** Version of the runner of the last run, if it may have run and has brought no event; it may still be running. */
  get openRunVersion(): string | undefined {
    const isOpen = this.#lastResult?.kind === "broken" && this.#eventCount === 0;
    return isOpen ? this.#runVersion : undefined;
  }

  /** Where the run that was sent last began, while no run has brought an event. */
  get origin(): Promise<streamOrigins.StreamOrigin> | undefined {
    return this.#origin;
  }

  setOrigin(origin: Promise<streamOrigins.StreamOrigin>): void {
    this.#origin = origin;
  }

  setSoftwareVersion(version: string): void {
    this.#softwareVersion = version;
  }

  /** Records a prefill before it is sent. */
  startPrefill(runnerId: string): sendAccount.Send {
    this.#cachedBy = runnerId;
    return this.account.startSend(runnerId, sendAccount.SEND_STEP.prefill);
  }

  /** Records a decode before it is sent. */
  startDecode({
    id,
    softwareVersion,
  }: Pick<runners.Runner, "id" | "softwareVersion">): sendAccount.Send {
    this.#runVersion = softwareVersion;
    return this.account.startSend(id, sendAccount.SEND_STEP.run);
  }

  /** Monotonic time at which the last event was sent to the caller. */
  get lastEventAt(): number | undefined {
    return this.#lastEventAt;
  }

  /** Runners to leave out of further placements. */
  get excluded(): ReadonlySet<string> {
    return this.#excluded;
  }

  /** Id of the last event that the caller has; the next run resumes after it. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether the last failure allows another placement. */
  get retryable(): boolean {
    const lastResult = this.#lastResult;
    if (lastResult?.kind === "notRun") return true;
    return lastResult?.kind === "broken" && this.#isIdempotent() && this.#canResume();
  }

  /**
   * Reserves the retries that another placement costs; returns whether one is allowed. It skips the prefill if only then
   * the limit of runners or the budget allows it.
   */
  reserveRetry(): boolean {
    const { prefill, run } = sendAccount.SEND_STEP;
    const needsPrefill = this.#prefilled === undefined;
    const isPrefillAllowed = needsPrefill && this.account.reserve([prefill, run]);
    this.#skipsPrefill = !isPrefillAllowed;
    return isPrefillAllowed || this.account.reserve([run]);
  }

  /** Records events that were sent to the caller. */
  recordEvents(
    { count, firstId, lastId }: Pick<eventSplitter.CompleteEvents, "count" | "firstId" | "lastId">,
    now: number,
  ): void {
    if (this.#eventCount === 0) this.#firstEventId = firstId;
    this.#lastEventAt = now;
    this.#eventCount += count;
    this.#lastEventId = lastId ?? this.#lastEventId;
  }

  /** Returns why the first event of a run cannot follow the events that the caller has, if it cannot. */
  findOrderFault(eventId: string | undefined): string | undefined {
    return streamRun.findOrderFault(this.#lastEventId, eventId, this.#isConsecutive());
  }

  /** Sets the prefilled prompt, or clears it (`undefined`) once it is used. */
  setPrefilled(prefilled: PrefilledPrompt | undefined): void {
    this.#prefilled = prefilled;
  }

  /** Records the result of a placement that did not complete the response. */
  recordFailure(result: RunResult): void {
    this.#lastResult = result;
    this.#placementCount += 1;
    if (result.kind === "broken") this.#runCount += 1;
    const mayExclude = result.kind === "broken" || result.kind === "notRun";
    if (mayExclude && result.excluded !== undefined) this.#excluded.add(result.excluded);
  }

  /** Returns the error for the caller after the last failure. */
  createError(): resultCodes.RequestError {
    const lastResult = this.#lastResult;
    const hasRun = this.#runCount > 0;
    if (lastResult?.kind === "broken") return answers.createFailure(lastResult.reason);
    if (hasRun) return answers.createFailure("broke off and found no other place");
    const { hasReachedNone } = this.account;
    if (lastResult?.kind === "noPlace") {
      const { retryAfterMs, reason = "pool is full" } = lastResult;
      return answers.createUnservedRefusal(retryAfterMs, reason, hasReachedNone);
    }
    const reason = lastResult?.kind === "notRun" ? lastResult.reason : "";
    return answers.createUnservedRefusal(FULL_RETRY_AFTER_MS, reason, hasReachedNone);
  }

  /** Whether the ids of the events that were sent are consecutive numbers; unknown, hence false, for fewer than two. */
  #isConsecutive(): boolean {
    const distance = Number(this.#lastEventId) - Number(this.#firstEventId);
    return this.#eventCount > 1 && distance === this.#eventCount - 1;
  }

  #isIdempotent(): boolean {
    const { kind, resumable } = this.#call.route;
    return kind === routing.CALL_KIND.safe || resumable;
  }

  /** A stream can be resumed only after an event with an id. */
  #canResume(): boolean {
    return this.#eventCount === 0 ? !this.started : this.#lastEventId !== undefined;
  }
}
