/** One run of a model request: the tokens received so far, and the reader that consumes them. */
import type * as callerTypes from "../caller/types.js";
import * as codes from "../protocol/result-codes.js";

/** Receives the events of a run. */
export interface ModelRunObserver {
  /** Called when the reader detached before the run finished. */
  onAbandoned(run: ModelRun): void;
}

interface Reader {
  readonly attempt: number;
  notify: () => void;
  superseded: boolean;
}

/**
 * The token buffer of a run. It has one reader at a time: a newer attempt replaces an older one, so
 * that no request is answered twice.
 */
export class ModelRun {
  readonly id: string;
  readonly abortController = new AbortController();
  readonly #tokens: string[] = [];
  readonly #observer: ModelRunObserver;
  #end: (callerTypes.ModelEvent & { type: "end" }) | undefined;
  #failure: codes.RequestError | undefined;
  #reader: Reader | undefined;
  #attempt: number;

  constructor(id: string, attempt: number, observer: ModelRunObserver) {
    this.id = id;
    this.#attempt = attempt;
    this.#observer = observer;
  }

  /** Highest attempt that has read this run. */
  get attempt(): number {
    return this.#attempt;
  }

  /** Number of tokens received: the offset of the next one. */
  get offset(): number {
    return this.#tokens.length;
  }

  /** The output so far. */
  get text(): string {
    return this.#tokens.join("");
  }

  /** Whether the run has ended, successfully or not. */
  get isFinished(): boolean {
    return this.#end !== undefined || this.#failure !== undefined;
  }

  /** Whether the run has ended with a complete answer. */
  get isComplete(): boolean {
    return this.#end !== undefined;
  }

  /** Whether a reader is attached. */
  get hasReader(): boolean {
    return this.#reader !== undefined;
  }

  /**
   * Adds the token at `offset`; a duplicate is dropped.
   *
   * @throws Error when an offset was skipped, because the answer would be incomplete.
   */
  addToken(offset: number, text: string): void {
    if (this.isFinished || offset < this.offset) return;
    if (offset > this.offset) throw new Error(`token ${this.offset} is missing before ${offset}`);
    this.#tokens.push(text);
    this.#reader?.notify();
  }

  /** Ends the run with a complete answer. */
  markEnd(end: callerTypes.ModelEvent & { type: "end" }): void {
    if (this.isFinished) return;
    this.#end = end;
    this.#reader?.notify();
  }

  /** Ends the run without a complete answer. */
  markFailed(failure: codes.RequestError): void {
    if (this.isFinished) return;
    this.#failure = failure;
    this.#reader?.notify();
  }

  /**
   * Reads from `offset` to the end, replacing the reader of an older attempt.
   *
   * @throws RequestError when the run failed, a newer attempt has read it, or `signal` aborted.
   */
  async *attach(
    attempt: number,
    offset: number,
    signal: AbortSignal,
  ): AsyncGenerator<callerTypes.ModelEvent> {
    const reader = this.#replaceReader(attempt);
    const onAbort = (): void => {
      reader.notify();
    };
    signal.addEventListener("abort", onAbort, { once: true });
    try {
      yield* this.#readTokens(reader, offset, signal);
    } finally {
      signal.removeEventListener("abort", onAbort);
      this.#removeReader(reader);
    }
  }

  #replaceReader(attempt: number): Reader {
    if (attempt < this.#attempt) throw createSupersededError();
    if (this.#reader !== undefined) {
      this.#reader.superseded = true;
      this.#reader.notify();
    }
    this.#attempt = attempt;
    this.#reader = { attempt, notify: () => undefined, superseded: false };
    return this.#reader;
  }

  #removeReader(reader: Reader): void {
    if (this.#reader !== reader) return;
    this.#reader = undefined;
    if (!this.isFinished) this.#observer.onAbandoned(this);
  }

  async *#readTokens(
    reader: Reader,
    from: number,
    signal: AbortSignal,
  ): AsyncGenerator<callerTypes.ModelEvent> {
    let offset = from;
    for (;;) {
      if (reader.superseded) throw createSupersededError();
      if (signal.aborted)
        throw new codes.RequestError(codes.RESULT_CODES.callerGone, codes.RAN.unknown);
      const text = this.#tokens[offset];
      if (text !== undefined) {
        yield { type: "token", offset, text };
        offset += 1;
      } else if (this.#end !== undefined) {
        yield this.#end;
        return;
      } else if (this.#failure !== undefined) {
        throw this.#failure;
      } else {
        await new Promise<void>((resolve) => {
          reader.notify = resolve;
        });
      }
    }
  }
}

function createSupersededError(): codes.RequestError {
  return new codes.RequestError(codes.RESULT_CODES.superseded, codes.RAN.unknown);
}
