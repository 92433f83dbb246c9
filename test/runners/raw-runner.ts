/** Runners that answer with given bytes, for tests of what may go wrong on a connection. */
import * as events from "node:events";
import * as net from "node:net";
import type * as gateway from "../../src/gateway/types.js";
import type * as runners from "../../src/runners/types.js";

/** A listening raw runner. */
export interface RawRunner extends AsyncDisposable {
  readonly runner: runners.Runner;
  /** Heads of the requests that arrived, in order. */
  readonly requests: string[];
  /** Connections that were opened. */
  readonly connections: () => number;
}

/**
 * Starts a runner on loopback.
 *
 * @param onRequest - called with the socket and the number of the request, from 1, on any connection.
 */
export async function startRawRunner(
  id: string,
  onRequest: (socket: net.Socket, count: number, head: string) => void,
): Promise<RawRunner> {
  const requests: string[] = [];
  const sockets = new Set<net.Socket>();
  let connections = 0;
  const server = net.createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("data", (bytes: Buffer) => {
      // The router asks whether a runner that broke a connection is still there; that runs nothing.
      if (bytes.toString().startsWith("GET /-/report")) {
        socket.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
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

/** Returns a plain runner at a port of loopback. */
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
    models: [],
  };
}

/** Returns the head of a caller's request. */
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
    ...changes,
  };
}

/** Returns the bytes of a signed answer with a length. */
export function formatAnswer(id: string, body: string, status = "200 OK"): string {
  const length = Buffer.byteLength(body);
  return `HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\nResponse-Stamp: s\r\nContent-Length: ${length}\r\n\r\n${body}`;
}
