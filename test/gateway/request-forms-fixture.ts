/** Sends requests as bytes to a gateway with one plain runner that keeps what it received. */
import * as events from "node:events";
import * as net from "node:net";
import type * as logEvents from "../../src/telemetry/log-events.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as raw from "../runners/raw-runner.js";
import * as fixture from "./gateway-fixture.js";

/** Time without bytes after which a connection is given up. */
const EXCHANGE_LIMIT_MS = 8_000;
/** Time that the runner works on a request whose path contains "slow", if the query names no other. */
const SLOW_MS = 400;

/** A request as the runner received it. */
export interface ReceivedRequest {
  /** Request line. */
  readonly line: string;
  readonly head: string;
  readonly host: string | undefined;
  readonly body: string;
}

/** What the caller received on one connection. */
export interface Exchange {
  /** Statuses of all answers, in order. */
  readonly statuses: readonly number[];
  readonly text: string;
}

/** A line of the gateway's log. */
export interface LogLine extends Readonly<Record<string, unknown>> {
  readonly event: string;
}

/** A gateway, its runner and its log. */
export class FormsGateway implements AsyncDisposable {
  readonly received: ReceivedRequest[] = [];
  readonly lines: LogLine[] = [];
  readonly #parts: AsyncDisposable[] = [];
  #ip = "";

  get ip(): string {
    return this.#ip;
  }

  /** Starts all on a loopback net; `limits` and `routes` replace those of the example configuration. */
  static async start(
    loopbackNet: number,
    number: number,
    change: (configuration: Record<string, unknown>) => Record<string, unknown> = (same) => same,
  ): Promise<FormsGateway> {
    const all = new FormsGateway();
    const testPlatform = await fixture.startPlatform({});
    all.#parts.push(testPlatform);
    const { platform } = testPlatform;
    platform.set("op/config", change(examples.createConfiguration(8)));
    const address = await all.#startRunner();
    platform.set("servers/p", examples.createRunnerEntry(address));
    const write = ({ message }: logEvents.LogEvent, fields = {}): void => {
      all.lines.push({ event: message, ...fields });
    };
    const gateway = await fixture.startGateway(platform, loopbackNet, number, {
      seeds: [number],
      configure: (kernel) => {
        kernel.register("log", () => ({ write }));
      },
    });
    all.#parts.push(gateway);
    all.#ip = gateway.ip;
    await fixture.waitForReady(gateway.ip);
    return all;
  }

  /** Sends bytes on a new connection, and returns all that came until it was closed. */
  async exchange(bytes: string, port?: number): Promise<Exchange> {
    const socket = await this.connect(port);
    socket.write(bytes, "latin1");
    return readAll(socket);
  }

  /** Returns the line of what the HTTP parser refused. */
  findUnreadable(): LogLine | undefined {
    return this.lines.find(({ event }) => event === "request of a caller not readable");
  }

  async connect(port: number = examples.PORTS.front): Promise<net.Socket> {
    const socket = net.connect(port, this.#ip);
    await events.default.once(socket, "connect");
    return socket;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const part of this.#parts.reverse()) await part[Symbol.asyncDispose]();
  }

  async #startRunner(): Promise<string> {
    const server = net.createServer((socket) => {
      let text = "";
      socket.on("error", () => undefined);
      socket.on("data", (bytes: Buffer) => {
        text += bytes.toString("latin1");
        const request = parseRequest(text);
        if (request === undefined) return;
        text = "";
        this.#answer(socket, request);
      });
    });
    server.listen(0, "127.0.0.1");
    await events.default.once(server, "listening");
    const close = (): Promise<void> => {
      server.close();
      return Promise.resolve();
    };
    this.#parts.push({ [Symbol.asyncDispose]: close });
    return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  }

  #answer(socket: net.Socket, request: ReceivedRequest): void {
    if (request.line.startsWith("GET /-/report")) {
      socket.end("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    this.received.push(request);
    const id = /^request-id: *(\S+)/im.exec(request.head)?.[1] ?? "";
    const isHead = request.line.startsWith("HEAD ");
    const answer = raw.formatResponse(id, "served");
    const slowMs = Number(/\?ms=(\d+)/.exec(request.line)?.[1] ?? SLOW_MS);
    setTimeout(
      () => socket.write(isHead ? answer.replace(/served$/, "") : answer),
      request.line.includes("slow") ? slowMs : 0,
    );
  }
}

/** Reads a connection until it is closed. */
export async function readAll(socket: net.Socket): Promise<Exchange> {
  let text = "";
  socket.on("data", (bytes: Buffer) => {
    text += bytes.toString("latin1");
  });
  socket.on("error", () => undefined);
  socket.setTimeout(EXCHANGE_LIMIT_MS, () => socket.destroy());
  await events.default.once(socket, "close");
  const statuses = [...text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map((match) => Number(match[1]));
  return { statuses, text };
}

function parseRequest(text: string): ReceivedRequest | undefined {
  const end = text.indexOf("\r\n\r\n");
  if (end < 0) return undefined;
  const head = text.slice(0, end);
  const body = text.slice(end + 4);
  const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
  if (body.length < length) return undefined;
  const host = /^host: *(.*)$/im.exec(head)?.[1]?.trim();
  return { line: head.split("\r\n")[0] ?? "", head, host, body };
}

/** Formats a request on a connection that ends with its answer. */
export function formatRequest(
  line: string,
  headers: readonly string[] = [],
  body = "",
  host = "api.example",
): string {
  const own = [`Host: ${host}`, "Request-Id: r1", "Deadline-Ms: 3000", "Connection: close"];
  const hasFraming = headers.some((header) => /^(content-length|transfer-encoding):/i.test(header));
  const framing = hasFraming ? [] : [`Content-Length: ${body.length}`];
  const lines = [`${line} HTTP/1.1`, ...own, ...framing, ...headers];
  return `${lines.join("\r\n")}\r\n\r\n${body}`;
}
