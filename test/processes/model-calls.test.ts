import * as test from "node:test";
import * as earl from "earl";
import * as callerClient from "../../src/client/caller-client.js";
import * as demoChecks from "../../standins/demo-checks.js";
import * as expectedTokens from "../../standins/engine/expected-tokens.js";
import type * as processFleet from "../../standins/process-fleet.js";
import * as fixture from "./fleet-fixture.js";

const MAX_TOKENS = 200;
const QUARANTINED = 1010;
const POISON_REPEATS = 4;
const LOAD_REQUESTS = 24;
const LOAD_PAUSE_MS = 40;
const SUCCESS_EXIT_CODE = 0;
/** Well before the request's natural end. */
const ENTRY_GONE_LIMIT_MS = 5_000;
const LONG_MAX_TOKENS = 1_000;

test.describe("model calls between processes", () => {
  let fleet: processFleet.ProcessFleet;

  test.before(async () => {
    fleet = await fixture.startFleet();
  });

  test.after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  test.it("holds nothing at the engines after a caller closed in mid-stream", async () => {
    const abort = new AbortController();
    const request = createRequest("closed early #tokens=4000");
    const stream = createClient().streamModel(
      { ...request, maxTokens: LONG_MAX_TOKENS },
      { signal: abort.signal },
    );
    let tokens = 0;
    for await (const event of stream) {
      if (event.type !== "token") break;
      tokens += 1;
      if (tokens === 3) abort.abort();
    }
    earl.expect(tokens).toBeGreaterThan(2);
    earl.expect(await demoChecks.waitUntilNothingHeld(fleet)).toEqual(undefined);
  });

  test.it("gives a whole answer when the decode engine is killed in mid-stream", async () => {
    const prompt = "engine killed #tokens=150";
    let killed: string | undefined;
    let text = "";
    for await (const event of createClient().streamModel(createRequest(prompt))) {
      if (event.type === "failed") throw new Error(event.failure.message);
      if (event.type === "token") text += event.text;
      if (killed === undefined && event.type === "token" && event.offset === 10) {
        killed = await killDecodeEngine();
      }
    }
    earl.expect(text).toEqual(computeExpected(prompt));
    await startEngine(killed ?? "");
  });

  test.it("loses no repeatable request when a node is killed under load", async () => {
    const victim = fixture.getPlace(fleet, 0);
    const results = await sendLoad("node killed", () => {
      fleet.getProcess(victim.vm).send("SIGKILL");
    });
    earl.expect(results).toEqual(Array<string>(LOAD_REQUESTS).fill("whole"));
    earl.expect(await demoChecks.waitUntilNothingHeld(fleet)).toEqual(undefined);
    await fleet.startNode(victim);
  });

  test.it("frees the engines when a caller and its node are gone together", async () => {
    const victim = fixture.getPlace(fleet, 3);
    const abort = new AbortController();
    const prompt = "both gone #tokens=4000";
    const reading = readStraight(victim, prompt, abort.signal).catch(() => "gone");
    await fixture.waitUntil("an engine generates", async () => {
      return (await demoChecks.waitUntilNothingHeld(fleet, 0)) !== undefined;
    });
    abort.abort();
    fleet.getProcess(victim.vm).send("SIGKILL");
    earl.expect(await reading).toEqual("gone");
    const held = await demoChecks.waitUntilNothingHeld(fleet, ENTRY_GONE_LIMIT_MS);
    earl.expect(held).toEqual(undefined);
    await fleet.startNode(victim);
  });

  for (const step of ["prefill", "decode"]) {
    test.it(`crashes at most two runners with a prompt poisonous to ${step}`, async () => {
      const crashed = await sendPoison(`poison #crash-${step}`);
      earl.expect(crashed).toBeGreaterThan(0);
      earl.expect(crashed).toBeLessThanOrEqual(2);
    });
  }

  for (const step of ["prefill", "decode"]) {
    test.it(`gives up a prompt poisonous to ${step} and answers its neighbours`, async () => {
      const innocent = sendLoad(`beside ${step}`);
      const crashed = await sendPoison(`poison beside others #crash-${step}`);
      earl.expect(await innocent).toEqual(Array<string>(LOAD_REQUESTS).fill("whole"));
      earl.expect(crashed).toBeGreaterThan(0);
      earl.expect(crashed).toBeLessThanOrEqual(2);
    });
  }

  test.it("cuts off no running stream when a node is asked to stop", async () => {
    const leaving = fixture.getPlace(fleet, 2);
    const streams = [1, 2, 3].map((number) => {
      const prompt = `drained ${number} #tokens=180`;
      return readStraight(leaving, prompt);
    });
    await fixture.sleep(1_000);
    fleet.getProcess(leaving.vm).send("SIGTERM");
    const texts = await Promise.all(streams);
    const expected = [1, 2, 3].map((number) => computeExpected(`drained ${number} #tokens=180`));
    earl.expect(texts).toEqual(expected);
    earl.expect(await fleet.getProcess(leaving.vm).exited).toEqual(SUCCESS_EXIT_CODE);
  });

  function createClient(): callerClient.CallerClient {
    return demoChecks.createClient(fleet, fixture.MODEL_CALLER);
  }

  function createRequest(prompt: string): { model: string; maxTokens: number; prompt: string } {
    const model = fleet.document.models[0]?.name ?? "";
    return { model, maxTokens: MAX_TOKENS, prompt };
  }

  async function killDecodeEngine(): Promise<string> {
    for (const runner of fleet.document.runners) {
      if (!runner.pool.endsWith("decode")) continue;
      const report = await demoChecks.readJudge<{ slotsHeld: unknown[] }>(runner.port);
      if (report.slotsHeld.length === 0) continue;
      fleet.getProcess(runner.name).send("SIGKILL");
      return runner.name;
    }
    throw new Error("no engine holds the request");
  }

  async function startEngine(name: string): Promise<void> {
    const runner = fleet.document.runners.find((candidate) => candidate.name === name);
    if (runner === undefined) throw new Error(`no runner ${name}`);
    await fleet.startEngine(runner);
  }

  /**
   * Sends a poison prompt again and again until it is refused for good; returns how many engines
   * it crashed, which run again afterwards.
   */
  async function sendPoison(prompt: string): Promise<number> {
    let code: number | undefined;
    for (let repeats = 0; repeats < POISON_REPEATS && code !== QUARANTINED; repeats += 1) {
      const answer = await createClient().sendModel(createRequest(prompt));
      code = answer.ok ? undefined : answer.code;
    }
    const again = await createClient().sendModel(createRequest(prompt));
    const crashed = await listCrashed();
    await Promise.all(crashed.map((name) => startEngine(name)));
    earl.expect(again.ok ? undefined : again.code).toEqual(QUARANTINED);
    return crashed.length;
  }

  /** Names runners whose engine no longer listens. */
  async function listCrashed(): Promise<string[]> {
    const crashed: string[] = [];
    for (const runner of fleet.document.runners) {
      const report = await demoChecks.readJudge(runner.port).catch(() => undefined);
      if (report === undefined) crashed.push(runner.name);
    }
    return crashed;
  }

  /** Sends requests shortly after one another and strikes after a third of them. */
  async function sendLoad(label: string, strike?: () => void): Promise<string[]> {
    const pending: Promise<string>[] = [];
    for (let number = 0; number < LOAD_REQUESTS; number += 1) {
      if (number === LOAD_REQUESTS / 3) strike?.();
      pending.push(sendOne(`${label} ${number}`));
      await fixture.sleep(LOAD_PAUSE_MS);
    }
    return Promise.all(pending);
  }

  async function sendOne(prompt: string): Promise<string> {
    const answer = await createClient().sendModel(createRequest(prompt));
    if (!answer.ok) return `${String(answer.code)} ${answer.message}`;
    return answer.text === computeExpected(prompt) ? "whole" : answer.text;
  }

  /** Streams from one node without any retry. */
  async function readStraight(
    place: processFleet.NodePlace,
    prompt: string,
    signal?: AbortSignal,
  ): Promise<string> {
    const response = await fetch(`http://${fixture.HOST}:${place.callerPort}/v1/completions`, {
      method: "POST",
      headers: {
        authorization: `Bearer demo-${fixture.MODEL_CALLER}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({ ...createRequest(prompt), max_tokens: LONG_MAX_TOKENS, stream: true }),
      signal,
    });
    const body = await response.text();
    if (!body.includes("data: [DONE]")) return `no end mark: ${body.slice(-300)}`;
    return parseText(body);
  }
});

function computeExpected(prompt: string): string {
  return expectedTokens.computeExpectedTokens(prompt, MAX_TOKENS).join("");
}

/** Joins the texts of a completion stream's events. */
function parseText(body: string): string {
  const texts = body
    .split("\n")
    .filter((line) => line.startsWith("data: {"))
    .map((line) => JSON.parse(line.slice("data: ".length)) as { choices?: { text?: string }[] });
  return texts.map((event) => event.choices?.[0]?.text ?? "").join("");
}
