/** TCP servers that send given bytes as runner responses, for tests of connection faults. */
import * as events from "node:events";
import * as net from "node:net";
import type * as gateway from "../../src/gateway/types.js";
import type * as runners from "../../src/runners/types.js";

/** A listening raw runner. */
export interface RawRunner extends AsyncDisposable {
  readonly runner: runners.Runner;
  /** Received requests, in order. */
  readonly requests: string[];
  /** Returns the number of accepted connections. */
  readonly connections: () => number;
}

/**
 * Starts a raw runner on the loopback interface.
 *
 * @param onRequest - called with the socket, the number of the request (from 1, over all connections)
 *   and the received text.
 * @param answerProbe - answers a report query; by default with status 404.
 */
export async function startRawRunner(
  id: string,
  onRequest: (socket: net.Socket, count: number, head: string) => void,
  answerProbe: (socket: net.Socket) => void = answerNotFound,
): Promise<RawRunner> {
  const requests: string[] = [];
  const sockets = new Set<net.Socket>();
  let connections = 0;
  const server = net.createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("data", (bytes: Buffer) => {
      // After a broken connection, the router checks whether the runner is still alive. This is not a
      // request to execute.
      if (bytes.toString().startsWith("GET /-/report")) {
        answerProbe(socket);
        return;
      }
      requests.push(bytes.toString());
      onRequest(socket, requests.length, bytes.toString());
    });
  });
  server.listen(0, "127.0.0.1");
  await events.default.once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  return {
    runner: createRunner(id, port),
    requests,
    connections: () => connections,
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        for (const socket of sockets) socket.destroy();
        server.close(() => {
          resolve();
        });
      }),
  };
}

/** Answers a report query as an idle model runner of the given stage. */
export function answerReport(stage: runners.Stage, socket: net.Socket): void {
  const report = JSON.stringify({ born: 1, stage, kv_total: 72_680 });
  socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`);
}

/** Leaves a report query without an answer, as a silent runner does. */
export const IGNORED_PROBE = (): void => undefined;

function answerNotFound(socket: net.Socket): void {
  socket.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
}

/** Creates a runner of the service "plain" at a loopback port. */
export function createRunner(id: string, port: number): runners.Runner {
  return {
    id,
    service: "plain",
    host: "127.0.0.1",
    port,
    zone: "a",
    slots: 6,
    leaving: false,
    stage: undefined,
    bornAt: 1,
    softwareVersion: "v1",
    models: [],
  };
}

/** Creates the parsed head of a caller's request. */
export function createHead(id: string, changes: Partial<gateway.CallHead> = {}): gateway.CallHead {
  return {
    id,
    method: "POST",
    target: "/a/x?y=%20z",
    path: "/a/x",
    host: "api.example",
    headers: [
      ["Host", "api.example"],
      ["Request-Id", id],
    ],
    deadlineMs: 1_000,
    prompt: undefined,
    lastEventId: undefined,
    firstAttemptId: undefined,
    ...changes,
  };
}

/** Formats a signed HTTP response with a `Content-Length`. */
export function formatResponse(id: string, body: string, status = "200 OK"): string {
  const length = Buffer.byteLength(body);
  return `HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\nResponse-Stamp: s\r\nContent-Length: ${length}\r\n\r\n${body}`;
}

/** Formats a refusal that states that the request did not run, and the request that it names. */
export function formatRefusal(id?: string): string {
  const name = id === undefined ? "" : `Request-Id: ${id}\r\n`;
  return `HTTP/1.1 503 Busy\r\n${name}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
}
