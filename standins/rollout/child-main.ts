/** Entry point of the child processes of a rollout: a runner, callers at a rate, or a process that keeps a processor busy. */
import * as events from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import * as cmd from "cmd-ts";

const HTTP_MISDIRECTED = 421;
const REPORT_PATH = "/-/report";
const WORK_MS = 5;
const DEADLINE_MS = 3_000;
const ABORT_DELAY_MS = 1_000;
const TICK_MS = 20;
const MS_PER_S = 1_000;
const BUSY_SLICE_MS = 50;
/** Requests of one caller process that wait; further ones count as not sent. */
const MAX_WAITING = 4_000;

/** Sets the rate of the callers, in requests per VM and second. */
export interface RateMessage {
  readonly perVm: number;
}

/** What became of the callers' requests, by outcome, since the last message. */
export type OutcomeMessage = Readonly<Record<string, number>>;

async function runRunner(id: string): Promise<void> {
  const server = http.createServer((request, response) => {
    request.resume();
    request.once("end", () => {
      handleRequest(id, request, response);
    });
  });
  server.listen(0, "127.0.0.1");
  await events.default.once(server, "listening");
  console.log(`listening 127.0.0.1:${(server.address() as net.AddressInfo).port}`);
}

function handleRequest(
  id: string,
  { headers, url: path }: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const call = String(headers["request-id"]);
  const expected = headers["expect-instance"];
  if (expected !== undefined && expected !== id) {
    response.writeHead(HTTP_MISDIRECTED, { "request-id": call, "not-executed": "1" }).end();
  } else if (path === REPORT_PATH) {
    response.end("{}");
  } else
    setTimeout(() => {
      response.writeHead(200, { "request-id": call, "response-stamp": `stamp-${id}` });
      response.end(`answer to ${call}\n`);
    }, WORK_MS);
}

/** Sends requests on the first route to every gateway, at the rate of the last message. */
function runCallers(id: string, gateways: readonly string[], port: number): void {
  const agent = new http.Agent({ keepAlive: true });
  let outcomes: Record<string, number> = {};
  let perVm = 0;
  let due = 0;
  let sent = 0;
  let waiting = 0;
  const record = (outcome: string): void => {
    waiting -= 1;
    outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
  };
  process.on("message", (message: RateMessage) => {
    ({ perVm } = message);
  });
  setInterval(() => {
    due += (perVm * gateways.length * TICK_MS) / MS_PER_S;
    for (; due >= 1; due -= 1) {
      sent += 1;
      waiting += 1;
      if (waiting > MAX_WAITING) record("not sent");
      else
        sendRequest(
          agent,
          { host: gateways[sent % gateways.length], port },
          `${id}-${sent}`,
          record,
        );
    }
  }, TICK_MS);
  setInterval(() => {
    process.send?.(outcomes);
    outcomes = {};
  }, MS_PER_S);
  console.log("listening 127.0.0.1:0");
}

function sendRequest(
  agent: http.Agent,
  target: { readonly host: string | undefined; readonly port: number },
  call: string,
  onEnd: (outcome: string) => void,
): void {
  const headers = { host: "api.example", "request-id": call, "deadline-ms": String(DEADLINE_MS) };
  const request = http.request({ ...target, agent, method: "POST", path: "/status/x", headers });
  let outcome = "failed";
  const timer = setTimeout(() => {
    outcome = "unanswered";
    request.destroy();
  }, DEADLINE_MS + ABORT_DELAY_MS);
  request.on("response", (response) => {
    outcome = String(response.statusCode);
    response.resume();
    response.on("error", () => undefined);
  });
  request.on("error", () => undefined);
  request.on("close", () => {
    clearTimeout(timer);
    onEnd(outcome);
  });
  request.end("body");
}

/** Uses a processor as far as it gets one; messages are read between slices. */
function runBusyLoop(): void {
  console.log("listening 127.0.0.1:0");
  const runSlice = (): void => {
    const until = performance.now() + BUSY_SLICE_MS;
    while (performance.now() < until);
    setImmediate(runSlice);
  };
  runSlice();
}

const command = cmd.command({
  name: "rollout-child",
  args: {
    role: cmd.option({ long: "role" }),
    id: cmd.option({ long: "id", defaultValue: () => "" }),
    gateways: cmd.option({ long: "gateways", defaultValue: () => "" }),
    port: cmd.option({ long: "port", type: cmd.number, defaultValue: () => 0 }),
  },
  handler: async ({ role, id, gateways, port }) => {
    const roles: Readonly<Record<string, () => Promise<void> | void>> = {
      runner: () => runRunner(id),
      callers: () => {
        runCallers(id, gateways.split(","), port);
      },
      busy: runBusyLoop,
    };
    const start = roles[role];
    if (start === undefined)
      throw new Error(`unknown role ${role}: expected ${Object.keys(roles).join(", ")}`);
    process.once("disconnect", () => process.exit(0));
    await start();
  },
});

await cmd.run(command, process.argv.slice(2));
