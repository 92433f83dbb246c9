/** A request at a decode engine, and the readers of its output. */
import type * as upstream from "../../src/upstream/types.js";
import * as asyncQueue from "../async-queue.js";
import type * as engineOptions from "./engine-options.js";
import * as expectedTokens from "./expected-tokens.js";

/** Stage of a request's processing. */
export type DecodeState = "queued" | "importing" | "running" | "finished";

/** A request, from its arrival until its output is discarded, and the queues of its readers. */
export class DecodeRequest {
  readonly command: upstream.DecodeCommand;
  readonly deadlineAt: number;
  /** Aborts the KV cache import. */
  readonly abortController = new AbortController();
  state: DecodeState = "queued";
  /** KV cache pieces that the request occupies. */
  pieces = 0;
  /** Set by the decode unit; 0 until then. */
  finishedAt = 0;
  readonly #tokens: string[] = [];
  readonly #readers = new Set<asyncQueue.AsyncQueue<upstream.DecodeEvent>>();
  #output: expectedTokens.OutputSeed = { seed: 0, length: 0 };
  #endEvent: upstream.DecodeEvent | undefined;

  constructor(command: upstream.DecodeCommand, deadlineAt: number) {
    this.command = command;
    this.deadlineAt = deadlineAt;
  }

  get attemptId(): upstream.AttemptId {
    return { id: this.command.id, attempt: this.command.attempt };
  }

  /** Marks the import as complete, so that `generateToken` may be called. */
  startRunning(kv: engineOptions.KvExport): void {
    this.#output = expectedTokens.computeOutputSeed(kv.prompt);
    this.state = "running";
    this.#push({ ...this.attemptId, type: "imported" });
  }

  /** Generates one token; returns whether the output is complete. */
  generateToken(): boolean {
    const offset = this.#getNextOffset();
    if (offset < this.#getEndOffset()) {
      const text = expectedTokens.computeToken(this.#output.seed, offset);
      this.#tokens.push(text);
      this.#push({ ...this.attemptId, type: "token", offset, text });
    }
    return this.#getNextOffset() >= this.#getEndOffset();
  }

  /**
   * Ends the output, because it is complete, has reached the request's limit, or because the
   * request was cancelled.
   */
  finish(isCancelled: boolean): void {
    const isComplete = this.#output.length <= this.command.offset + this.command.maxTokens;
    const finishReason = isCancelled ? "cancelled" : isComplete ? "stop" : "length";
    const tokens = this.#getNextOffset();
    this.#endEvent = { ...this.attemptId, type: "end", tokens, finishReason };
    this.#push(this.#endEvent);
    this.#closeReaders();
    this.state = "finished";
  }

  /** Aborts the KV cache import and ends all readers with an error. */
  fail(error: Error): void {
    this.abortController.abort(error);
    this.#closeReaders(error);
    this.state = "finished";
  }

  /**
   * Adds a reader. It receives `imported` once the import is complete, then the tokens from `offset`,
   * which counts from the start of the whole response.
   */
  attach(offset: number): AsyncIterable<upstream.DecodeEvent> {
    const reader: asyncQueue.AsyncQueue<upstream.DecodeEvent> = new asyncQueue.AsyncQueue(() => {
      this.#readers.delete(reader);
    });
    if (this.state === "running" || this.#endEvent)
      reader.push({ ...this.attemptId, type: "imported" });
    for (let at = offset; at < this.#getNextOffset(); at += 1) {
      const text = this.#tokens[at - this.command.offset];
      if (text !== undefined) reader.push({ ...this.attemptId, type: "token", offset: at, text });
    }
    if (this.#endEvent !== undefined) reader.push(this.#endEvent);
    if (this.state === "finished") reader.close();
    else this.#readers.add(reader);
    return reader;
  }

  #getNextOffset(): number {
    return this.command.offset + this.#tokens.length;
  }

  #getEndOffset(): number {
    return Math.min(this.#output.length, this.command.offset + this.command.maxTokens);
  }

  #push(event: upstream.DecodeEvent): void {
    for (const reader of this.#readers) reader.push(event);
  }

  #closeReaders(error?: Error): void {
    for (const reader of this.#readers) reader.close(error);
    this.#readers.clear();
  }
}
