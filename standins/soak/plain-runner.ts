/**
 * A plain runner of the soak. Each answer names its request and runner. A share of the calls is
 * refused, as are calls meant for another runner, and a share of the answers is lost.
 */
import * as events from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import * as random from "../../src/kernel/random.js";
import * as failing from "../users-platform/failing-runner.js";

/** Upper bound of the random time that a call takes. */
const MAX_WORK_MS = 40;
/** Share of the calls that run, with a reset of the connection instead of the answer. */
const LOST_ANSWER_SHARE = 0.02;
/** Share of calls that are refused with a response that says that they were not executed. */
const REFUSED_SHARE = 0.02;
const HTTP_MISDIRECTED_REQUEST = 421;
/** Path of the query for the state of a runner, which is no call of its service. */
const REPORT_PATH = "/-/report";

/** Returns the body of a runner's answer to a call. */
export function formatAnswer(call: string, runner: string): string {
  return `answer to ${call} by ${runner}\n`.repeat(20);
}

/** Body of the request that ends its runners. */
export const CRASHING_BODY = "crash";

/** Receives what happens to the calls of a runner. */
export interface CallObserver {
  /** Returns what to do with the next call. */
  readonly chooseFailure: () => failing.Failure;
  /** Returns headers that all answers have. */
  readonly createCommonHeaders: () => Record<string, string>;
  /** A call arrives; tells whether it runs. */
  readonly onArrived: (call: string, hasRun: boolean) => void;
  /** A call starts to run. */
  readonly onRan: (call: string) => void;
  /** The request that ends its runners arrived. */
  readonly onCrashArrived: (call: string) => void;
  /** The request that ends its runners starts to run; must end the process. */
  readonly onCrash: (call: string) => void;
}

/** Starts a runner and returns its address. */
export async function startPlainRunner(
  id: string,
  seed: number,
  observer: CallObserver,
): Promise<string> {
  const source = random.createSeededRandom(seed);
  const server = http.createServer((request, response) => {
    if (request.url === REPORT_PATH) {
      answerReport(id, request, response);
      return;
    }
    response.setHeaders(new Map(Object.entries(observer.createCommonHeaders())));
    let body = "";
    request.on("data", (chunk: Buffer) => {
      body += chunk.toString("latin1");
    });
    request.once("end", () => {
      const call = String(request.headers["request-id"]);
      if (body === CRASHING_BODY) observer.onCrashArrived(call);
      const onRan = body === CRASHING_BODY ? observer.onCrash : observer.onRan;
      handleCall(id, source, request, response, { ...observer, onRan });
    });
  });
  server.listen(0, "127.0.0.1");
  await events.default.once(server, "listening");
  const { address, port } = server.address() as net.AddressInfo;
  return `${address}:${port}`;
}

/** Answers at once, without a place in the queue, and states no start. */
function answerReport(
  id: string,
  { headers }: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  if (headers["expect-instance"] === id) response.end("{}");
  else response.writeHead(HTTP_MISDIRECTED_REQUEST, { "not-executed": "1" }).end();
}

function handleCall(
  id: string,
  source: random.RandomSource,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  { chooseFailure, onArrived, onRan }: CallObserver,
): void {
  const call = String(request.headers["request-id"]);
  if (request.headers["expect-instance"] !== id) {
    onArrived(call, false);
    response.writeHead(HTTP_MISDIRECTED_REQUEST, { "not-executed": "1", "request-id": call }).end();
    return;
  }
  const failure = chooseFailure();
  if (failure === failing.FAILURE.reject || source.nextFloat() < REFUSED_SHARE) {
    onArrived(call, false);
    response.writeHead(503, { "not-executed": "1", "request-id": call }).end();
    return;
  }
  onArrived(call, true);
  onRan(call);
  const isLost = source.nextFloat() < LOST_ANSWER_SHARE || failure === failing.FAILURE.reset;
  setTimeout(() => {
    if (isLost) {
      response.socket?.resetAndDestroy();
      return;
    }
    response.writeHead(200, { "request-id": call, "response-stamp": `stamp-${id}` });
    response.end(formatAnswer(call, id));
  }, source.nextInteger(MAX_WORK_MS));
}
