import * as test from "node:test";
import * as otel from "@opentelemetry/api";
import * as earl from "earl";
import type * as capacity from "../../src/capacity/types.js";
import type * as callerTypes from "../../src/caller/types.js";
import * as clocks from "../../src/kernel/clock.js";
import * as container from "../../src/kernel/container.js";
import * as codes from "../../src/protocol/result-codes.js";
import * as modelAttempts from "../../src/request/model-attempts.js";
import * as modelRun from "../../src/request/model-run.js";
import type * as engineAttempts from "../../src/request/engine-attempt.js";
import * as upstream from "../../src/upstream/types.js";
import * as examples from "../settings/examples.js";

const PREFILL = { name: "p1", host: "127.0.0.1", port: 1 };
const DECODE = { name: "d1", host: "127.0.0.1", port: 2 };
const OVERLOADED = new codes.RequestError(codes.RESULT_CODES.overloaded, codes.RAN.no, {
  retryAfterMs: 700,
});

/** Events that the fake engine sends for one decode command. */
type DecodeScript = (command: upstream.DecodeCommand) => AsyncIterable<upstream.DecodeEvent>;

interface Scenario {
  readonly kernel: container.Kernel;
  readonly prefills: upstream.PrefillCommand[];
  readonly cancels: string[];
  readonly demands: capacity.Demand[];
  readonly crashes: string[];
  refuseReservationFrom: number;
  isQuarantined: boolean;
  waitForPrefillStart: () => Promise<void>;
  readonly revoked: AbortController;
}

function createScenario(decodes: DecodeScript[]): Scenario {
  const kernel = container.createKernel();
  const prefills: upstream.PrefillCommand[] = [];
  const cancels: string[] = [];
  const demands: capacity.Demand[] = [];
  const crashes: string[] = [];
  const scenario: Scenario = {
    kernel,
    prefills,
    cancels,
    demands,
    crashes,
    refuseReservationFrom: Infinity,
    isQuarantined: false,
    waitForPrefillStart: () => Promise.resolve(),
    revoked: new AbortController(),
  };
  let reservations = 0;
  const services = {
    clock: clocks.createSystemClock(),
    log: { write: () => undefined },
    tracer: otel.trace.getTracer("test"),
    crashes: {
      isQuarantined: () => scenario.isQuarantined,
      isSuspect: () => false,
      recordProgress: () => undefined,
      recordSuccess: () => undefined,
      recordCrash: (runner: string) => {
        crashes.push(runner);
      },
    },
    capacity: {
      reserve: (demand: capacity.Demand) => {
        demands.push(demand);
        reservations += 1;
        if (reservations >= scenario.refuseReservationFrom) return Promise.reject(OVERLOADED);
        return Promise.resolve(createReservation(scenario));
      },
    },
    engines: {
      prefill: (_runner: upstream.Upstream, command: upstream.PrefillCommand) => {
        prefills.push(command);
        return Promise.resolve({
          handle: "h",
          promptTokens: 3,
          cachedTokens: 0,
          pieces: 1,
          expiresInMs: 800,
        });
      },
      decode: (_runner: upstream.Upstream, command: upstream.DecodeCommand) =>
        (decodes.shift() ?? failDecode)(command),
      resume: () => failDecode(),
      cancel: (runner: upstream.Upstream, attempt: upstream.AttemptId) => {
        cancels.push(`${runner.name} ${attempt.attempt}`);
        return Promise.resolve();
      },
    },
  };
  for (const [name, service] of Object.entries(services)) {
    kernel.register(name as "settings", () => service as never);
  }
  return scenario;
}

function createReservation(scenario: Scenario): capacity.Reservation {
  return {
    prefill: PREFILL,
    decode: DECODE,
    revoked: scenario.revoked.signal,
    waitForPrefillStart: () => scenario.waitForPrefillStart(),
    recordPrefillEnd: () => undefined,
    recordDecodeStart: () => undefined,
    recordTokenGap: () => undefined,
    recordFailure: () => undefined,
    [Symbol.asyncDispose]: () => Promise.resolve(),
  };
}

// eslint-disable-next-line @typescript-eslint/require-await -- fakes an engine that is down
async function* failDecode(): AsyncGenerator<upstream.DecodeEvent> {
  yield* [];
  throw new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.notConnected, "down");
}

function createTokens(offset: number, texts: readonly string[], ending: "end" | "break") {
  return async function* (command: upstream.DecodeCommand): AsyncGenerator<upstream.DecodeEvent> {
    const { id, attempt } = command;
    yield await Promise.resolve({ id, attempt, type: "imported" as const });
    // A frame of an older attempt must be dropped.
    yield { id, attempt: attempt - 1, type: "token", offset, text: "old" };
    for (const [index, text] of texts.entries()) {
      yield { id, attempt, type: "token", offset: offset + index, text };
    }
    if (ending === "break") return;
    const tokens = offset + texts.length;
    yield { id, attempt, type: "end", tokens, finishReason: "stop" };
  };
}

function createContext(attempt: number): engineAttempts.RequestContext {
  const document = examples.readExample("lagos.json");
  const caller = document.callers[1];
  const model = document.models[0];
  if (caller === undefined || model === undefined) throw new Error("the example lacks a caller");
  const call: callerTypes.ModelCall = {
    caller,
    model,
    id: undefined,
    attempt,
    prompt: "log",
    maxTokens: 8,
    ...caller.tolerance,
  };
  return { call, attempt, fingerprint: "f", startedAt: 0, isOwnedHere: true };
}

function createRun(attempt: number): modelRun.ModelRun {
  return new modelRun.ModelRun("id", attempt, { onAbandoned: () => undefined });
}

const SIGNAL = new AbortController().signal;

test.describe("ModelAttempts", () => {
  test.it("drops frames of older attempts and continues a broken stream by offset", async () => {
    const scenario = createScenario([
      createTokens(0, ["a", "b"], "break"),
      createTokens(2, ["c"], "end"),
    ]);
    const run = createRun(1);
    await new modelAttempts.ModelAttempts(scenario.kernel).run(createContext(1), run, SIGNAL);
    earl.expect(run.text).toEqual("abc");
    earl.expect(scenario.prefills.map((each) => each.continuation)).toEqual(["", "ab"]);
    earl.expect(scenario.prefills.map((each) => each.attempt)).toEqual([100, 101]);
    earl.expect(scenario.cancels).toEqual(["p1 100", "d1 100"]);
  });

  test.it("reports `ran: no` only when no attempt was sent to a runner", async () => {
    const firstCall = createScenario([]);
    firstCall.refuseReservationFrom = 1;
    earl.expect(await readRan(firstCall, 1)).toEqual(codes.RAN.no);
    const secondCall = createScenario([]);
    secondCall.refuseReservationFrom = 1;
    earl.expect(await readRan(secondCall, 2)).toEqual(codes.RAN.unknown);
    const broken = createScenario([createTokens(0, ["a"], "break")]);
    broken.refuseReservationFrom = 2;
    earl.expect(await readRan(broken, 1)).toEqual(codes.RAN.unknown);
  });

  test.it("retries when the end event counts more tokens than arrived", async () => {
    const truncated = createTokens(0, ["a"], "end");
    const scenario = createScenario([
      async function* (command) {
        for await (const event of truncated(command)) {
          yield event.type === "end" ? { ...event, tokens: 2 } : event;
        }
      },
      createTokens(1, ["b"], "end"),
    ]);
    const run = createRun(1);
    await new modelAttempts.ModelAttempts(scenario.kernel).run(createContext(1), run, SIGNAL);
    earl.expect(run.text).toEqual("ab");
  });

  test.it("records a crash when a stream broke and the engine cannot resume it", async () => {
    const scenario = await runWithBrokenStream();
    earl.expect(scenario.crashes).toEqual(["d1"]);
  });

  test.it("gives a retry a new first-token target", async () => {
    const scenario = await runWithBrokenStream();
    const [first, second] = scenario.demands;
    const target = createContext(1).call.firstTokenMs;
    earl.expect(first?.firstTokenBy).toEqual(target);
    earl.expect((second?.firstTokenBy ?? 0) > target).toEqual(true);
  });

  test.it(
    "cancels nothing and reports `ran: no` when the wait for prefill was refused",
    async () => {
      const scenario = createScenario([]);
      scenario.waitForPrefillStart = () => Promise.reject(OVERLOADED);
      earl.expect(await readRan(scenario, 1)).toEqual(codes.RAN.no);
      earl.expect(scenario.cancels).toEqual([]);
    },
  );

  test.it("records no crash when the reservation was revoked", async () => {
    const scenario = createScenario([createTokens(0, ["a"], "break")]);
    scenario.revoked.abort(new Error("lease revoked"));
    await readRan(scenario, 1);
    earl.expect(scenario.crashes).toEqual([]);
  });

  // Guards against BUDGET: a request that waited for its prefill ran although it was quarantined meanwhile.
  test.it("sends no prefill for a request that is quarantined while it waits", async () => {
    const scenario = createScenario([]);
    scenario.waitForPrefillStart = () => {
      scenario.isQuarantined = true;
      return Promise.resolve();
    };
    earl.expect(await readRan(scenario, 1)).toEqual(codes.RAN.no);
    earl.expect(scenario.prefills).toEqual([]);
  });

  test.it("fails after four engine attempts and cancels each at both runners", async () => {
    const scenario = createScenario([]);
    earl.expect(await readRan(scenario, 1)).toEqual(codes.RAN.unknown);
    earl.expect(scenario.prefills.length).toEqual(4);
    earl.expect(scenario.cancels.length).toEqual(8);
  });
});

/** Runs a request whose first stream breaks after one token and whose second one is complete. */
async function runWithBrokenStream(): Promise<Scenario> {
  const scenario = createScenario([createTokens(0, ["a"], "break"), createTokens(1, ["b"], "end")]);
  const attempts = new modelAttempts.ModelAttempts(scenario.kernel);
  await attempts.run(createContext(1), createRun(1), SIGNAL);
  return scenario;
}

/** Runs a request that fails and returns the `ran` value of its error. */
async function readRan(scenario: Scenario, attempt: number): Promise<codes.Ran | undefined> {
  const attempts = new modelAttempts.ModelAttempts(scenario.kernel);
  try {
    await attempts.run(createContext(attempt), createRun(attempt), SIGNAL);
    return undefined;
  } catch (error) {
    return error instanceof codes.RequestError ? error.ran : undefined;
  }
}
