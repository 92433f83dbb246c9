/** A runner of a plain service on bare sockets, which spoils some of its answers as a faulty one does. */
import * as events from "node:events";
import * as net from "node:net";
import * as examples from "../../standins/users-platform/examples.js";
import type * as deployments from "./deployment.js";

const HEAD_END = "\r\n\r\n";
const REPORT_START = "GET /-/report ";

/** What a faulty runner sends in place of an answer to the request with the given id. */
export type Spoiler = (call: string) => string;

/** Runs what arrives, and spoils each `every`th answer. */
export class RawRunner implements AsyncDisposable {
  readonly id: string;
  /** Ids of the requests that it ran. */
  readonly ran = new Set<string>();
  /** Ids of the requests whose answers it spoiled. */
  readonly spoiled = new Set<string>();
  readonly #workMs: number;
  readonly #every: number;
  readonly #spoil: Spoiler | undefined;
  readonly #sockets = new Set<net.Socket>();
  readonly #server = net.createServer((socket) => {
    this.#accept(socket);
  });

  /** @param spoil - `undefined` for a sound runner. */
  constructor(id: string, workMs: number, every: number, spoil: Spoiler | undefined) {
    this.id = id;
    this.#workMs = workMs;
    this.#every = every;
    this.#spoil = spoil;
  }

  async start(platform: deployments.Store): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await events.default.once(this.#server, "listening");
    const { port } = this.#server.address() as net.AddressInfo;
    const changes = { slots: 64, born: Date.now() };
    const entry = examples.createRunnerEntry(`127.0.0.1:${port}`, changes);
    platform.set(`servers/${this.id}`, entry);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
    await events.default.once(this.#server, "close");
  }

  #accept(socket: net.Socket): void {
    let received = "";
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => {
      received += bytes.toString("latin1");
      for (;;) {
        const headEnd = received.indexOf(HEAD_END);
        if (headEnd < 0) return;
        const head = received.slice(0, headEnd);
        const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
        const end = headEnd + HEAD_END.length + length;
        if (received.length < end) return;
        received = received.slice(end);
        this.#handle(socket, head);
      }
    });
  }

  #handle(socket: net.Socket, head: string): void {
    if (head.startsWith(REPORT_START)) {
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
      return;
    }
    const call = /^request-id: (\S+)/im.exec(head)?.[1] ?? "";
    this.ran.add(call);
    const isSpoiled = this.ran.size % this.#every === 0;
    const spoiled = isSpoiled ? this.#spoil?.(call) : undefined;
    if (spoiled !== undefined) this.spoiled.add(call);
    setTimeout(() => {
      if (!socket.destroyed) socket.write(spoiled ?? this.#format(call));
    }, this.#workMs);
  }

  #format(call: string): string {
    const body = `answer to ${call} by ${this.id}\n`;
    const headers = `Request-Id: ${call}\r\nResponse-Stamp: stamp-${this.id}\r\n`;
    return `HTTP/1.1 200 OK\r\n${headers}Content-Length: ${body.length}${HEAD_END}${body}`;
  }
}
