/** The answer to a caller of another VM, as items of a stream. */
import type * as gateway from "../gateway/types.js";
import * as asyncQueue from "../protocol/async-queue.js";
import type * as resultCodes from "../protocol/result-codes.js";
import type * as callerReply from "../serving/caller-reply.js";
import * as handoverCalls from "./handover-calls.js";

/** Parts that wait for the stream before the writer has to wait. */
const MAX_QUEUED_PARTS = 4;

/** Takes the answer of one call and yields it as items. */
export class RemoteReply implements callerReply.CallerReply {
  readonly #items = new asyncQueue.AsyncQueue<handoverCalls.HandoverItem>();
  #started = false;
  #onTaken: (() => void) | undefined;

  get started(): boolean {
    return this.#started;
  }

  send(status: number, headers: gateway.HeaderList, body: Buffer): void {
    if (body.byteLength <= handoverCalls.MAX_PART_BYTES) {
      this.#started = true;
      this.#items.push({
        type: "response",
        status,
        headers: handoverCalls.formatHeaders(headers),
        body,
      });
      return;
    }
    this.#sendStart(status, headers, body.byteLength);
    this.#pushParts(body);
    this.close();
  }

  start(status: number, headers: gateway.HeaderList): void {
    this.#sendStart(status, headers);
  }

  async write(bytes: Buffer, signal: AbortSignal): Promise<void> {
    this.#pushParts(bytes);
    if (this.#items.length <= MAX_QUEUED_PARTS) return;
    await this.#waitForRoom(signal);
  }

  close(): void {
    this.#items.push({ type: "end" });
  }

  /** Ends the stream without `end`. */
  cancel(): void {
    this.#items.close();
  }

  /** Sends a failure, after which the answer is not complete. */
  sendFailure({ code, ran, message, retryAfterMs }: resultCodes.RequestError): void {
    this.#items.push({ type: "failure", code: code.number, ran, detail: message, retryAfterMs });
  }

  /** Sends that nothing of the request ran. */
  sendDeclined(reason: handoverCalls.DeclineReason, isCounted: boolean): void {
    this.#items.push({ type: "declined", reason, isCounted });
  }

  /** Yields the items until `cancel`. */
  async *streamItems(): AsyncGenerator<handoverCalls.HandoverItem, undefined> {
    for await (const item of this.#items) {
      this.#onTaken?.();
      yield item;
    }
  }

  #sendStart(status: number, headers: gateway.HeaderList, bodyBytes?: number): void {
    this.#started = true;
    const head = { status, headers: handoverCalls.formatHeaders(headers) };
    this.#items.push({ type: "start", ...head, bodyBytes });
  }

  #pushParts(body: Buffer): void {
    for (const bytes of handoverCalls.listParts(body)) this.#items.push({ type: "part", bytes });
  }

  #waitForRoom(signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const onAbort = (): void => {
        this.#onTaken = undefined;
        reject(signal.reason as Error);
      };
      if (signal.aborted) {
        onAbort();
        return;
      }
      signal.addEventListener("abort", onAbort, { once: true });
      this.#onTaken = () => {
        if (this.#items.length > MAX_QUEUED_PARTS) return;
        this.#onTaken = undefined;
        signal.removeEventListener("abort", onAbort);
        resolve();
      };
    });
  }
}
