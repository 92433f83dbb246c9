/** Sends model requests to a fleet of processes and injects faults meanwhile. */
import * as earl from "earl";
import * as callerClient from "../../src/client/caller-client.js";
import * as demoChecks from "../../standins/demo-checks.js";
import * as expectedTokens from "../../standins/engine/expected-tokens.js";
import type * as processFleet from "../../standins/process-fleet.js";
import * as fixture from "./fleet-fixture.js";

export const MAX_TOKENS = 200;
export const QUARANTINED = 1010;
export const MAX_POISON_REQUESTS = 4;
export const LOAD_REQUESTS = 24;
export const LOAD_INTERVAL_MS = 40;
export const SUCCESS_EXIT_CODE = 0;
/** Time in which engines must release a request; far shorter than the request would run. */
export const RELEASE_TIMEOUT_MS = 5_000;
export const LONG_MAX_TOKENS = 1_000;

/** Sends the model requests of one caller to a fleet. */
export class ModelTestClient {
  readonly #fleet: processFleet.ProcessFleet;

  constructor(fleet: processFleet.ProcessFleet) {
    this.#fleet = fleet;
  }

  createClient(): callerClient.CallerClient {
    return demoChecks.createClient(this.#fleet, fixture.MODEL_CALLER);
  }

  createRequest(prompt: string): { model: string; maxTokens: number; prompt: string } {
    const model = this.#fleet.document.models[0]?.name ?? "";
    return { model, maxTokens: MAX_TOKENS, prompt };
  }

  /** Kills an engine that holds a decode. @returns its runner's name */
  async killDecodeEngine(): Promise<string> {
    for (const runner of this.#fleet.document.runners) {
      if (!runner.pool.endsWith("decode")) continue;
      const report = await demoChecks.readReport<{ slotsHeld: unknown[] }>(runner.port);
      if (report.slotsHeld.length === 0) continue;
      this.#fleet.getProcess(runner.name).sendSignal("SIGKILL");
      return runner.name;
    }
    throw new Error("no decode engine holds the request");
  }

  async startEngine(name: string): Promise<void> {
    const runner = this.#fleet.document.runners.find((candidate) => candidate.name === name);
    if (runner === undefined) throw new Error(`no runner ${name}`);
    await this.#fleet.startEngine(runner);
  }

  /**
   * Sends a poison prompt repeatedly until it is quarantined, once more to check that it stays so,
   * and restarts the engines that it crashed. Returns their number.
   */
  async sendPoisonPrompt(prompt: string): Promise<number> {
    let code: number | undefined;
    for (let requests = 0; requests < MAX_POISON_REQUESTS && code !== QUARANTINED; requests += 1) {
      const answer = await this.createClient().sendModel(this.createRequest(prompt));
      code = answer.ok ? undefined : answer.code;
    }
    const finalAnswer = await this.createClient().sendModel(this.createRequest(prompt));
    const crashed = await this.listCrashedRunners();
    await Promise.all(crashed.map((name) => this.startEngine(name)));
    await fixture.waitUntil("the fleet answers requests again", async () => {
      return (await this.sendOne("after poison")) === "whole";
    });
    earl.expect(finalAnswer.ok ? undefined : finalAnswer.code).toEqual(QUARANTINED);
    return crashed.length;
  }

  /** Returns the names of the runners whose engine no longer listens. */
  async listCrashedRunners(): Promise<string[]> {
    const crashed: string[] = [];
    for (const runner of this.#fleet.document.runners) {
      const report = await demoChecks.readReport(runner.port).catch(() => undefined);
      if (report === undefined) crashed.push(runner.name);
    }
    return crashed;
  }

  /**
   * Sends requests at short intervals and injects a fault after a third of them. Returns the result
   * of each as `sendOne` does.
   */
  async sendLoad(label: string, injectFault?: () => void): Promise<string[]> {
    const pendingResults: Promise<string>[] = [];
    for (let number = 0; number < LOAD_REQUESTS; number += 1) {
      if (number === LOAD_REQUESTS / 3) injectFault?.();
      pendingResults.push(this.sendOne(`${label} ${number}`));
      await fixture.sleep(LOAD_INTERVAL_MS);
    }
    return Promise.all(pendingResults);
  }

  /** Sends a request; returns `whole`, or else the wrong text or the failure. */
  async sendOne(prompt: string): Promise<string> {
    const answer = await this.createClient().sendModel(this.createRequest(prompt));
    if (!answer.ok) return `${String(answer.code)} ${answer.message}`;
    return answer.text === computeExpected(prompt) ? "whole" : answer.text;
  }

  /** Streams a completion from one node, without retries. */
  async readWithoutRetry(
    node: processFleet.NodeAddress,
    prompt: string,
    signal?: AbortSignal,
  ): Promise<string> {
    const response = await fetch(`http://${fixture.HOST}:${node.callerPort}/v1/completions`, {
      method: "POST",
      headers: {
        authorization: `Bearer demo-${fixture.MODEL_CALLER}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({
        ...this.createRequest(prompt),
        max_tokens: LONG_MAX_TOKENS,
        stream: true,
      }),
      signal,
    });
    const body = await response.text();
    if (!body.includes("data: [DONE]")) return `stream has no end mark: ${body.slice(-300)}`;
    return parseText(body);
  }
}

export function computeExpected(prompt: string): string {
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
