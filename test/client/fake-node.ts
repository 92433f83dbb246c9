/** A node of scripted answers for the client's tests. */
import * as http from "node:http";
import type * as net from "node:net";
import type * as addressCache from "../../src/client/address-cache.js";

/** What a fake node received. */
export interface ReceivedRequest {
  readonly id: string | undefined;
  readonly attempt: string | undefined;
  readonly body: string;
}

/** Answers one request; the node goes on with the next answer for the next one. */
export type Responder = (response: http.ServerResponse) => void;

/** A listening node. */
export interface FakeNode extends AsyncDisposable {
  readonly address: addressCache.NodeAddress;
  readonly received: readonly ReceivedRequest[];
  /** Addresses that it names; itself when empty. */
  readonly advertised: addressCache.NodeAddress[];
}

/** Creates a node that answers requests by `answers`, in order. */
export async function createFakeNode(answers: Responder[]): Promise<FakeNode> {
  const received: ReceivedRequest[] = [];
  const named: addressCache.NodeAddress[] = [];
  let asked = 0;
  const server = http.createServer((request, response) => {
    if (request.url === "/v1/address") {
      asked += 1;
      const addresses = named.length === 0 ? [getAddress(server)] : named;
      response.end(JSON.stringify({ addresses, ttlMs: 30_000, session: `session${asked}` }));
      return;
    }
    let body = "";
    request.on("data", (part: Buffer) => (body += part.toString()));
    request.on("end", () => {
      const { "idempotency-key": id, "x-attempt": attempt } = request.headers;
      received.push({ id: id as string, attempt: attempt as string, body });
      const answer = answers.shift() ?? sendCompletion("unexpected");
      answer(response);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: getAddress(server),
    received,
    advertised: named,
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

/** Answers with a whole completion. */
export function sendCompletion(text: string): Responder {
  return (response) => {
    response.end(JSON.stringify(createCompletion(text, "stop")));
  };
}

/** Answers with tokens as server-sent events, and their end unless `isCut`. */
export function sendTokens(tokens: readonly string[], isCut = false): Responder {
  return (response) => {
    response.setHeader("content-type", "text/event-stream");
    for (const token of tokens) writeEvent(response, createCompletion(token, null));
    if (isCut) {
      response.write("", () => response.destroy());
      return;
    }
    writeEvent(response, createCompletion("", "stop"));
    response.end("data: [DONE]\n\n");
  };
}

/** Answers with a numbered error. */
export function sendRefusal(status: number, error: object): Responder {
  return (response) => {
    response.statusCode = status;
    response.end(JSON.stringify({ error: { message: "refused", ...error } }));
  };
}

/** Closes the connection without an answer. */
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
