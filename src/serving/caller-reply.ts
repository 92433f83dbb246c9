/** The answer to one caller. What has begun is either whole or visibly broken off. */
import type * as http from "node:http";
import * as events from "node:events";
import type * as gateway from "../gateway/types.js";

/** Writes the one answer of a call. */
export class CallerReply {
  readonly #response: http.ServerResponse;
  #started = false;

  constructor(response: http.ServerResponse) {
    this.#response = response;
  }

  /** Whether anything was sent. */
  get started(): boolean {
    return this.#started;
  }

  /** Sends a whole answer. */
  send(status: number, headers: gateway.HeaderList, body: Buffer): void {
    const length = ["Content-Length", String(body.byteLength)] as const;
    this.start(status, [...headers, length]);
    this.#response.end(body);
  }

  /** Sends the head of an answer whose length is not known. */
  start(status: number, headers: gateway.HeaderList): void {
    this.#started = true;
    this.#response.writeHead(status, headers.flat() as unknown as http.OutgoingHttpHeader[]);
  }

  /** Sends bytes, and waits while the caller does not read. */
  async write(bytes: Buffer, signal: AbortSignal): Promise<void> {
    if (this.#response.write(bytes)) return;
    await events.default.once(this.#response, "drain", { signal });
  }

  close(): void {
    this.#response.end();
  }

  /** Breaks the connection, so that nobody takes what was sent for a whole answer. */
  cancel(): void {
    this.#response.destroy();
  }
}
