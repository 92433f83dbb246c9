import type * as net from "node:net";
import * as test from "node:test";
import * as earl from "earl";
import * as examples from "../../standins/users-platform/examples.js";
import type * as store from "../../standins/users-platform/store.js";
import * as raw from "../runners/raw-runner.js";
import * as fixture from "./gateway-fixture.js";

const RUNNER_COUNT = 3;
const CALLERS = 6;
const CALLS_PER_CALLER = 30;
/** Every how many requests a runner refuses one. */
const REFUSED_EVERY = 3;
const WORK_MS = 15;
const REFUSAL_STATUSES: readonly number[] = [408, 421, 429, 503];

/** When a runner writes its last refusal once more. */
const REPEAT = {
  onArrival: "when the next request arrives",
  duringRun: "while the next request runs",
  withAnswer: "in one write with the next answer",
  behindRefusal: "in one write with the refusal",
  soonAfter: "shortly after the refusal",
} as const;

type Repeat = (typeof REPEAT)[keyof typeof REPEAT];

const SOON_MS = 5;

/** What callers and runners observed in a play. */
interface Observed {
  /** Ids of requests that a caller was told had not run, although they ran. */
  readonly deniedRuns: readonly string[];
  readonly ranTwice: readonly string[];
  readonly served: number;
}

/** Requests that ran, of all runners of a play. */
type Runs = Map<string, number>;

function parseId(head: string): string {
  return /request-id: (\S+)/i.exec(head)?.[1] ?? "";
}

/** Starts a runner that refuses a part of its requests and writes each refusal twice. */
function startRepeatingRunner(
  id: string,
  runs: Runs,
  repeat: Repeat,
  namesRequest: boolean,
): Promise<raw.RawRunner> {
  const repeats = new WeakMap<net.Socket, string>();
  const takeRepeat = (socket: net.Socket): string => {
    const text = repeats.get(socket) ?? "";
    repeats.delete(socket);
    return text;
  };
  const answer = (socket: net.Socket, call: string): void => {
    const response = raw.formatResponse(call, "booked");
    socket.write(repeat === REPEAT.withAnswer ? takeRepeat(socket) + response : response);
  };
  return raw.startRawRunner(id, (socket, count, head) => {
    const call = parseId(head);
    if (repeat === REPEAT.onArrival) socket.write(takeRepeat(socket));
    if (count % REFUSED_EVERY === 0) {
      const again = raw.formatRefusal(namesRequest ? call : undefined);
      const isNow = repeat === REPEAT.behindRefusal;
      socket.write(raw.formatRefusal(call) + (isNow ? again : ""));
      if (repeat === REPEAT.soonAfter) setTimeout(() => socket.write(again), SOON_MS);
      else if (!isNow) repeats.set(socket, again);
      return;
    }
    runs.set(call, (runs.get(call) ?? 0) + 1);
    if (repeat === REPEAT.duringRun)
      setTimeout(() => socket.write(takeRepeat(socket)), WORK_MS / 2);
    setTimeout(() => {
      answer(socket, call);
    }, WORK_MS);
  });
}

/** Starts and lists the runners of a play. */
async function startRunners(
  platform: store.StoreStandIn,
  runs: Runs,
  repeat: Repeat,
  namesRequest: boolean,
): Promise<AsyncDisposable> {
  const started: raw.RawRunner[] = [];
  for (let index = 0; index < RUNNER_COUNT; index += 1) {
    const runner = await startRepeatingRunner(`p${index}`, runs, repeat, namesRequest);
    started.push(runner);
    const address = `127.0.0.1:${runner.runner.port}`;
    platform.set(`servers/p${index}`, examples.createRunnerEntry(address));
  }
  return {
    [Symbol.asyncDispose]: async () => {
      for (const runner of started) await runner[Symbol.asyncDispose]();
    },
  };
}

/** Sends calls of an unsafe route with up to `attempts` runners a call. */
async function playCalls(
  net: number,
  repeat: Repeat,
  namesRequest: boolean,
  attempts = 1,
): Promise<Observed> {
  await using testPlatform = await fixture.startPlatform({});
  const { platform } = testPlatform;
  const configuration = examples.createConfiguration(8) as { routes: Record<string, unknown>[] };
  const routes = configuration.routes.map((route) =>
    route.kind === "unsafe" ? { ...route, max_attempts: attempts } : route,
  );
  platform.set("op/config", { ...configuration, routes });
  const runs: Runs = new Map();
  await using _runners = await startRunners(platform, runs, repeat, namesRequest);
  await using gateway = await fixture.startGateway(platform, net, 1);
  await fixture.waitForReady(gateway.ip);
  fixture.addRetries(gateway, "plain");
  const statuses = new Map<string, number>();
  const sendAll = async (caller: number): Promise<void> => {
    for (let index = 0; index < CALLS_PER_CALLER; index += 1) {
      const id = `c${caller}-${index}`;
      const answer = await fixture.send(gateway.ip, "/book/x", { "request-id": id });
      statuses.set(id, answer.status);
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, (_, caller) => sendAll(caller)));
  return {
    deniedRuns: [...statuses]
      .filter(([id, status]) => REFUSAL_STATUSES.includes(status) && runs.has(id))
      .map(([id]) => id),
    ranTwice: [...runs].filter(([, count]) => count > 1).map(([id]) => id),
    served: [...statuses.values()].filter((status) => status === 200).length,
  };
}

const FIRST_NET = 60;
const ATTEMPTS_NET = FIRST_NET + 2 * Object.keys(REPEAT).length;
/** Least number of calls served: two thirds are not refused, and some are lost behind repeated refusals. */
const MIN_SERVED = (CALLERS * CALLS_PER_CALLER) / 2;

// Guards against REFUSED and TWICE: the earlier refusal was taken for the answer to a request that ran.
test.describe("refusals that a runner writes once more", { concurrency: 4 }, () => {
  for (const [index, repeat] of Object.values(REPEAT).entries())
    for (const namesRequest of [true, false]) {
      const suffix = namesRequest ? "and names the earlier request" : "and names none";
      test.it(`are no answer to another request: ${repeat}, ${suffix}`, async () => {
        const net = FIRST_NET + 2 * index + (namesRequest ? 1 : 0);
        const observed = await playCalls(net, repeat, namesRequest);
        earl.expect(observed).toEqual({ ...observed, deniedRuns: [], ranTwice: [] });
        earl.expect([observed.served >= MIN_SERVED, observed]).toEqual([true, observed]);
      });
    }

  test.it("send no request that ran to a second runner", async () => {
    const observed = await playCalls(ATTEMPTS_NET, REPEAT.onArrival, false, 3);
    earl.expect(observed).toEqual({ ...observed, deniedRuns: [], ranTwice: [] });
  });
});
