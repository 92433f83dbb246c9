/** A fake node with scripted responses for the tests of the client. */
import * as http from "node:http";
import type * as net from "node:net";
import type * as addressCache from "../../src/client/address-cache.js";

/** A request that a fake node received. */
export interface ReceivedRequest {
  readonly id: string | undefined;
  readonly attempt: string | undefined;
  readonly body: string;
}

/** Responds to one request; each responder is used once. */
export type Responder = (response: http.ServerResponse) => void;

/** A listening node. */
export interface FakeNode extends AsyncDisposable {
  readonly address: addressCache.NodeAddress;
  readonly received: readonly ReceivedRequest[];
  /** Addresses in its lookup responses; its own address when empty. */
  readonly advertised: addressCache.NodeAddress[];
}

/** Creates a node that responds with `responders`, in order. */
export async function createFakeNode(responders: Responder[]): Promise<FakeNode> {
  const received: ReceivedRequest[] = [];
  const advertised: addressCache.NodeAddress[] = [];
  let addressRequests = 0;
  const server = http.createServer((request, response) => {
    if (request.url === "/v1/address") {
      addressRequests += 1;
      const addresses = advertised.length === 0 ? [getAddress(server)] : advertised;
      response.end(
        JSON.stringify({ addresses, ttlMs: 30_000, session: `session${addressRequests}` }),
      );
      return;
    }
    let body = "";
    request.on("data", (part: Buffer) => (body += part.toString()));
    request.on("end", () => {
      const { "idempotency-key": id, "x-attempt": attempt } = request.headers;
      received.push({ id: id as string, attempt: attempt as string, body });
      const respond = responders.shift() ?? sendCompletion("unexpected");
      respond(response);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: getAddress(server),
    received,
    advertised,
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

/** Responds with a complete, unstreamed completion. */
export function sendCompletion(text: string): Responder {
  return (response) => {
    response.end(JSON.stringify(createCompletion(text, "stop")));
  };
}

/** Streams tokens as server-sent events, followed by the end unless `isInterrupted`. */
export function sendTokens(tokens: readonly string[], isInterrupted = false): Responder {
  return (response) => {
    response.setHeader("content-type", "text/event-stream");
    for (const token of tokens) writeEvent(response, createCompletion(token, null));
    if (isInterrupted) {
      response.write("", () => response.destroy());
      return;
    }
    writeEvent(response, createCompletion("", "stop"));
    response.end("data: [DONE]\n\n");
  };
}

/** Responds with an error body. */
export function sendRefusal(status: number, error: object): Responder {
  return (response) => {
    response.statusCode = status;
    response.end(JSON.stringify({ error: { message: "refused", ...error } }));
  };
}

/** Closes the connection without a response. */
export function breakConnection(response: http.ServerResponse): void {
  response.destroy();
}

function createCompletion(text: string, finishReason: string | null): object {
  const usage = { prompt_tokens: 3, completion_tokens: 2 };
  return { choices: [{ index: 0, text, finish_reason: finishReason }], usage };
}

function writeEvent(response: http.ServerResponse, value: object): void {
  response.write(`data: ${JSON.stringify(value)}\n\n`);
}

function getAddress(server: http.Server): addressCache.NodeAddress {
  return { host: "127.0.0.1", port: (server.address() as net.AddressInfo).port };
}
