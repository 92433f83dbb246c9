/** A plain runner of the soak: answers name their request and runner; some get lost on their way. */
import * as events from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import * as random from "../../src/kernel/random.js";

/** Work of a call, in milliseconds. */
const MAX_WORK_MS = 40;
/** Share of calls that run and whose answer is lost. */
const LOST_ANSWER_SHARE = 0.02;
/** Share of calls that are refused as not run. */
const REFUSED_SHARE = 0.02;
const HTTP_MISDIRECTED_REQUEST = 421;

/** Returns the body of an answer. */
export function formatAnswer(call: string, runner: string): string {
  return `answer to ${call} by ${runner}\n`.repeat(20);
}

/** Starts a runner; returns its address. `onRan` is called when a call begins to run. */
export async function startPlainRunner(
  id: string,
  seed: number,
  onRan: (call: string) => void,
): Promise<string> {
  const source = random.createSeededRandom(seed);
  const server = http.createServer((request, response) => {
    request.resume();
    request.once("end", () => {
      handleCall(id, source, request, response, onRan);
    });
  });
  server.listen(0, "127.0.0.1");
  await events.default.once(server, "listening");
  const { address, port } = server.address() as net.AddressInfo;
  return `${address}:${port}`;
}

function handleCall(
  id: string,
  source: random.RandomSource,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  onRan: (call: string) => void,
): void {
  const call = String(request.headers["request-id"]);
  if (request.headers["expect-instance"] !== id) {
    response.writeHead(HTTP_MISDIRECTED_REQUEST, { "not-executed": "1" }).end();
    return;
  }
  if (source.nextFloat() < REFUSED_SHARE) {
    response.writeHead(503, { "not-executed": "1", "request-id": call }).end();
    return;
  }
  onRan(call);
  const isLost = source.nextFloat() < LOST_ANSWER_SHARE;
  setTimeout(() => {
    if (isLost) {
      response.socket?.resetAndDestroy();
      return;
    }
    response.writeHead(200, { "request-id": call, "response-stamp": `stamp-${id}` });
    response.end(formatAnswer(call, id));
  }, source.nextInteger(MAX_WORK_MS));
}
