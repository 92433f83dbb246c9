import * as http from "node:http";
import type * as net from "node:net";
import * as test from "node:test";
import * as earl from "earl";
import * as examples from "../../standins/users-platform/examples.js";
import type * as store from "../../standins/users-platform/store.js";
import * as raw from "../runners/raw-runner.js";
import * as fixture from "./gateway-fixture.js";

const EVENT_COUNT = 8;
/** Number of events after which the first run of a stream breaks off. */
const BREAK_AFTER = 3;
const RUNNER_COUNT = 3;
/** Events that hold the maximum output of `fixture.PROMPT`. */
const EXHAUSTING_EVENTS = 14;

function formatEvents(first: number, end: number): string {
  return Array.from({ length: end - first }, (_, index) => first + index)
    .map((id) => `id: ${id}\ndata: piece ${id}\n\n`)
    .join("");
}

function formatHead(call: string, status: string, headers: readonly string[]): string {
  const lines = [`Request-Id: ${call}`, "Response-Stamp: s", ...headers];
  return `HTTP/1.1 ${status}\r\n${lines.join("\r\n")}\r\n\r\n`;
}

function formatChunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

const EVENT_STREAM = "Content-Type: text/event-stream";
const CHUNKED = "Transfer-Encoding: chunked";
const LAST_CHUNK = "0\r\n\r\n";

/** Writes the answer to a call that goes on after `next - 1` events. */
type Answer = (socket: net.Socket, call: string, next: number) => void;

const WHOLE: Answer = (socket, call, next) => {
  const head = formatHead(call, "200 OK", [EVENT_STREAM, CHUNKED]);
  const events = next < EVENT_COUNT ? formatChunk(formatEvents(next, EVENT_COUNT)) : "";
  socket.write(head + events + LAST_CHUNK);
};

/** Creates an answer that sends events and then breaks its connection. */
function createBreak(events: number): Answer {
  return (socket, call) => {
    const head = formatHead(call, "200 OK", [EVENT_STREAM, CHUNKED]);
    socket.write(head + formatChunk(formatEvents(0, events)), () => {
      setTimeout(() => socket.destroy(), 5);
    });
  };
}

/** Creates an answer with a length whose body does not depend on the events before. */
function createFixed(status: string, headers: readonly string[], body: string): Answer {
  return (socket, call) => {
    const length = `Content-Length: ${Buffer.byteLength(body)}`;
    socket.write(formatHead(call, status, [...headers, length]) + body);
  };
}

/** Signed successes that do not continue a stream, by name. */
const FAULTS: Readonly<Record<string, Answer>> = {
  "200 with a length of zero": createFixed("200 OK", [EVENT_STREAM], ""),
  "204": (socket, call) => {
    socket.write(formatHead(call, "204 No Content", []));
  },
  "205": createFixed("205 Reset Content", [], ""),
  "206 with a length of zero": createFixed("206 Partial Content", [EVENT_STREAM], ""),
  "206 with events": (socket, call, next) => {
    const body = formatEvents(next, EVENT_COUNT);
    createFixed("206 Partial Content", [EVENT_STREAM], body)(socket, call, next);
  },
  "empty chunked 200": (socket, call) => {
    socket.write(formatHead(call, "200 OK", [EVENT_STREAM, CHUNKED]) + LAST_CHUNK);
  },
  "empty 200 that ends with its connection": (socket, call) => {
    socket.end(formatHead(call, "200 OK", [EVENT_STREAM, "Connection: close"]));
  },
  "200 with comments only": createFixed("200 OK", [EVENT_STREAM], ": busy\n\n: busy\n\n"),
  "200 with blank lines only": createFixed("200 OK", [EVENT_STREAM], "\n\n\n\n"),
  "200 of another type": createFixed(
    "200 OK",
    ["Content-Type: text/html"],
    "id: 3\ndata: <p>error</p>\n\n",
  ),
  "200 with an encoding": (socket, call, next) => {
    const headers = [EVENT_STREAM, "Content-Encoding: br"];
    createFixed("200 OK", headers, formatEvents(next, EVENT_COUNT))(socket, call, next);
  },
};

/** Answers that are no success of the runner, by name. */
const ERRORS: Readonly<Record<string, Answer>> = {
  "500": createFixed("500 Error", [], "error"),
  "500 with an event": createFixed("500 Error", [EVENT_STREAM], "id: 3\ndata: error\n\n"),
  "404": createFixed("404 Not Found", [], "no such page"),
  "503": createFixed("503 Busy", [], "busy"),
  "unsigned 200": (socket, call, next) => {
    const body = formatEvents(next, EVENT_COUNT);
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${call}\r\n${EVENT_STREAM}\r\n`;
    socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
  },
  "200 of another request": (socket, _call, next) => {
    WHOLE(socket, "another", next);
  },
  "bare text": (socket) => {
    socket.end("error: no such model\r\n\r\n");
  },
};

/** Signed successes whose events do not follow those before, by name. */
const MISPLACED: Readonly<Record<string, Answer>> = {
  "200 that begins anew": (socket, call) => {
    WHOLE(socket, call, 0);
  },
  "200 that repeats the last event": (socket, call, next) => {
    WHOLE(socket, call, next - 1);
  },
  "200 that leaves an event out": (socket, call, next) => {
    WHOLE(socket, call, next + 1);
  },
  "200 with an event without an id": createFixed("200 OK", [EVENT_STREAM], "data: error\n\n"),
};

/** What a caller of a stream received. */
interface Received {
  readonly status: number | undefined;
  readonly body: string;
  readonly isComplete: boolean;
}

/** Sends a model request and reads its answer as far as it goes. */
function readAnswer(ip: string, headers: Readonly<Record<string, string>>): Promise<Received> {
  return new Promise((resolve) => {
    const request = http.request({
      host: ip,
      port: examples.PORTS.front,
      method: "POST",
      path: "/notes/x",
      agent: false,
      headers: {
        host: "api.example",
        "deadline-ms": "3000",
        ...fixture.PROMPT,
        ...headers,
      },
    });
    request.on("error", () => {
      resolve({ status: undefined, body: "", isComplete: false });
    });
    request.on("response", (response) => {
      let body = "";
      response.on("data", (chunk: Buffer) => (body += chunk.toString()));
      response.on("error", () => undefined);
      response.on("close", () => {
        resolve({ status: response.statusCode, body, isComplete: response.complete });
      });
    });
    request.end("body");
  });
}

/**
 * Starts decode runners that answer the first runs with `answers`, and all further ones with the last of them. Resolves
 * once the gateway lists them.
 */
async function startRunners(
  platform: store.StoreStandIn,
  gateway: fixture.TestGateway,
  play: string,
  answers: readonly Answer[],
): Promise<AsyncDisposable> {
  let runs = 0;
  const started: raw.RawRunner[] = [];
  for (let index = 0; index < RUNNER_COUNT; index += 1) {
    const id = `${play}-${index}`;
    const runner = await raw.startRawRunner(
      id,
      (socket, _count, head) => {
        const call = /request-id: (\S+)/i.exec(head)?.[1] ?? "";
        const last = /last-event-id: (\d+)/i.exec(head)?.[1];
        const answer = answers[Math.min(runs, answers.length - 1)];
        runs += 1;
        fixture.addRetries(gateway, "model");
        answer?.(socket, call, last === undefined ? 0 : Number(last) + 1);
      },
      (socket) => {
        raw.answerReport("decode", socket);
      },
    );
    started.push(runner);
    const changes = { service: "model", stage: "decode", slots: 16 };
    const address = `127.0.0.1:${runner.runner.port}`;
    platform.set(`servers/${id}`, examples.createRunnerEntry(address, changes));
  }
  const table = gateway.running.kernel.use("runners");
  const waitForListing = (count: number): Promise<void> =>
    fixture.waitFor(`${count} runners of ${play} are listed`, () => {
      const ids = started.map(({ runner }) => runner.id);
      return ids.filter((id) => table.find(id) !== undefined).length === count;
    });
  await waitForListing(RUNNER_COUNT);
  return {
    [Symbol.asyncDispose]: async () => {
      for (const { runner } of started) platform.remove(`servers/${runner.id}`);
      await waitForListing(0);
      for (const runner of started) await runner[Symbol.asyncDispose]();
    },
  };
}

/**
 * Plays one stream for each list of answers, through one gateway.
 *
 * @param isResumed - whether the caller resumes the stream once, because the gateway may not.
 */
async function playStreams(
  net: number,
  plays: Readonly<Record<string, readonly Answer[]>>,
  isResumed = false,
): Promise<Readonly<Record<string, Received>>> {
  const received: Record<string, Received> = {};
  await using testPlatform = await fixture.startPlatform();
  const { platform } = testPlatform;
  const configuration = examples.createConfiguration(8) as { routes: Record<string, unknown>[] };
  const routes = configuration.routes.map((route) => ({
    ...route,
    // A run at another runner counts twice: its prompt is read again.
    max_attempts: isResumed ? 1 : 5,
  }));
  platform.set("op/config", { ...configuration, routes });
  await using gateway = await fixture.startGateway(platform, net, 1);
  await fixture.waitForReady(gateway.ip);
  for (const [index, [name, answers]] of Object.entries(plays).entries()) {
    await using _runners = await startRunners(platform, gateway, `d${index}`, answers);
    fixture.addRetries(gateway, "model");
    const id = `r${index}`;
    const first = await readAnswer(gateway.ip, { "request-id": id });
    received[name] = isResumed ? await readAnswer(gateway.ip, createResumed(id)) : first;
  }
  return received;
}

function createPlays(
  faults: Readonly<Record<string, Answer>>,
  create: (fault: Answer) => readonly Answer[],
): Readonly<Record<string, readonly Answer[]>> {
  return Object.fromEntries(
    Object.entries(faults).map(([name, fault]) => [name, create(fault)] as const),
  );
}

function expectAll(
  received: Readonly<Record<string, Received>>,
  expected: (one: Received) => Partial<Received>,
): void {
  const all = Object.entries(received).map(([name, one]) => [name, { ...one, ...expected(one) }]);
  earl.expect(received).toEqual(Object.fromEntries(all) as typeof received);
}

/** Returns the headers of a caller that resumes the stream of a request. */
function createResumed(id: string): Readonly<Record<string, string>> {
  return { "request-id": `${id}-2`, resumes: id, "last-event-id": String(BREAK_AFTER - 1) };
}

const WHOLE_BODY = formatEvents(0, EVENT_COUNT);
const BEGINNING = formatEvents(0, BREAK_AFTER);
const BROKEN_OFF = createBreak(BREAK_AFTER);

// Guards against ORDER: a success of the next runner without a further event was taken for the end of a stream.
test.describe("streams that break off", { concurrency: 4 }, () => {
  test.it(
    "are not whole when the next runners answer with a success that adds nothing",
    async () => {
      const plays = createPlays(FAULTS, (fault) => [BROKEN_OFF, fault]);
      const expected = { status: 200, body: BEGINNING, isComplete: false };
      expectAll(await playStreams(72, plays), () => expected);
    },
  );

  test.it("are broken off when the next runners answer with an error", async () => {
    const plays = createPlays(ERRORS, (fault) => [BROKEN_OFF, fault]);
    const expected = { status: 200, body: BEGINNING, isComplete: false };
    expectAll(await playStreams(79, plays), () => expected);
  });

  test.it("are not whole when the next runners send events that do not follow", async () => {
    const plays = createPlays(MISPLACED, (fault) => [BROKEN_OFF, fault]);
    const expected = { status: 200, body: BEGINNING, isComplete: false };
    expectAll(await playStreams(73, plays), () => expected);
  });

  test.it("go on at a third runner", async () => {
    const plays = createPlays({ ...FAULTS, ...ERRORS, ...MISPLACED }, (fault) => [
      BROKEN_OFF,
      fault,
      WHOLE,
    ]);
    const expected = { status: 200, body: WHOLE_BODY, isComplete: true };
    expectAll(await playStreams(74, plays), () => expected);
  });

  test.it("are whole when they held all output that the request allows", async () => {
    const empty = FAULTS["200 with a length of zero"] ?? WHOLE;
    const plays = { exhausted: [createBreak(EXHAUSTING_EVENTS), empty] };
    const body = formatEvents(0, EXHAUSTING_EVENTS);
    expectAll(await playStreams(75, plays), () => ({ status: 200, body, isComplete: true }));
  });
});

test.describe("streams whose first run brings no event", { concurrency: 4 }, () => {
  test.it("begin at another runner", async () => {
    const plays = createPlays(FAULTS, (fault) => [fault, WHOLE]);
    const expected = { status: 200, body: WHOLE_BODY, isComplete: true };
    expectAll(await playStreams(76, plays), () => expected);
  });

  test.it("fail when no runner brings an event", async () => {
    const plays = createPlays(FAULTS, (fault) => [fault]);
    expectAll(await playStreams(77, plays), () => ({ status: 502, isComplete: true }));
  });

  test.it("fail when their caller resumes them", async () => {
    const plays = createPlays({ ...FAULTS, ...MISPLACED }, (fault) => [BROKEN_OFF, fault]);
    // Without earlier events in this request, only the caller can tell that one is missing.
    const { "200 that leaves an event out": _ignored, ...judged } = plays;
    expectAll(await playStreams(78, judged, true), () => ({ status: 502, isComplete: true }));
  });
});

const VERSIONS = ["v1", "v2"] as const;
const STREAM_COUNT = 12;

// Guards against ORDER after all VMs were killed: a broken run may go on and be reported, so its version has to be the stream's.
test.describe("requests whose first run breaks off without an event", () => {
  test.it("run again at the same software version while it serves", async () => {
    await using testPlatform = await fixture.startPlatform();
    const runVersions = new Map<string, string[]>();
    const started: raw.RawRunner[] = [];
    for (const [index, version] of [...VERSIONS, ...VERSIONS].entries()) {
      const answer = (socket: net.Socket, _count: number, head: string): void => {
        const call = /request-id: (\S+)/i.exec(head)?.[1] ?? "";
        const versions = runVersions.get(call) ?? [];
        runVersions.set(call, [...versions, version]);
        if (versions.length === 0) socket.destroy();
        else WHOLE(socket, call, 0);
      };
      const runner = await raw.startRawRunner(`d${index}`, answer, (socket) => {
        raw.answerReport("decode", socket);
      });
      started.push(runner);
      const changes = { service: "model", stage: "decode", slots: 16, version };
      const address = `127.0.0.1:${runner.runner.port}`;
      testPlatform.platform.set(`servers/d${index}`, examples.createRunnerEntry(address, changes));
    }
    await using gateway = await fixture.startGateway(testPlatform.platform, 80, 1);
    await fixture.waitForReady(gateway.ip);
    for (let index = 0; index < STREAM_COUNT; index += 1) {
      fixture.addRetries(gateway, "model");
      await readAnswer(gateway.ip, { "request-id": `r${index}`, "prompt-prefix": `${index}:100` });
    }
    for (const runner of started) await runner[Symbol.asyncDispose]();
    const mixed = [...runVersions.values()].filter(([first, second]) => first !== second);
    earl.expect([runVersions.size, mixed]).toEqual([STREAM_COUNT, []]);
  });
});
