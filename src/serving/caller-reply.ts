/** The answer to a caller. Once started, it is either completed or visibly aborted. */
import type * as http from "node:http";
import * as events from "node:events";
import type * as gateway from "../gateway/types.js";

/** Takes the answer of one call. */
export interface CallerReply {
  /** Whether the head of the answer was sent. */
  readonly started: boolean;
  /** Sends a complete answer. */
  send(status: number, headers: gateway.HeaderList, body: Buffer): void;
  /** Sends the head of an answer whose body follows. */
  start(status: number, headers: gateway.HeaderList): void;
  /** Sends bytes of the body; on backpressure waits until the caller reads. */
  write(bytes: Buffer, signal: AbortSignal): Promise<void>;
  /** Ends an answer whose body is complete. */
  close(): void;
  /** Aborts the answer, so that a truncated one is not taken for a complete one. */
  cancel(): void;
}

/** Writes the answer of one call as an HTTP response. */
export class HttpReply implements CallerReply {
  readonly #response: http.ServerResponse;
  readonly #onHead: () => void;
  #started = false;

  /** @param onHead - called before the head is sent. */
  constructor(response: http.ServerResponse, onHead: () => void = () => undefined) {
    this.#response = response;
    this.#onHead = onHead;
  }

  get started(): boolean {
    return this.#started;
  }

  send(status: number, headers: gateway.HeaderList, body: Buffer): void {
    const length = ["Content-Length", String(body.byteLength)] as const;
    this.start(status, [...headers, length]);
    this.#response.end(body);
  }

  start(status: number, headers: gateway.HeaderList): void {
    this.#started = true;
    this.#onHead();
    this.#response.writeHead(status, headers.flat() as unknown as http.OutgoingHttpHeader[]);
  }

  async write(bytes: Buffer, signal: AbortSignal): Promise<void> {
    if (this.#response.write(bytes)) return;
    await events.default.once(this.#response, "drain", { signal });
  }

  close(): void {
    this.#response.end();
  }

  cancel(): void {
    this.#response.destroy();
  }
}
