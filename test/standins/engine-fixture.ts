/** Fixture: a prefill and a decode engine that share a fake clock. */
import type * as upstream from "../../src/upstream/types.js";
import * as engineModel from "../../standins/engine/engine-model.js";
import type * as engineOptions from "../../standins/engine/engine-options.js";
import * as fakeClock from "../../standins/fake-clock.js";

/** The two engines and their clock. */
export interface EnginePair {
  readonly clock: fakeClock.FakeClock;
  readonly prefill: engineModel.EngineModel;
  readonly decode: engineModel.EngineModel;
}

export const PREFILL_RUNNER: upstream.Upstream = { name: "p1", host: "10.0.1.1", port: 1 };

/** Creates the pair; `partial` overrides options of both engines. */
export function createEnginePair(partial: Partial<engineOptions.EngineOptions> = {}): EnginePair {
  const clock = fakeClock.createFakeClock();
  const prefill = new engineModel.EngineModel({ clock, name: "p1", role: "prefill", ...partial });
  const fetchKv: engineOptions.KvFetcher = (_source, handle) =>
    Promise.resolve(prefill.popKv(handle));
  const decode = new engineModel.EngineModel({ clock, name: "d1", fetchKv, ...partial });
  return { clock, prefill, decode };
}

export function createPrefillCommand(
  prompt: string,
  changes: Partial<upstream.PrefillCommand> = {},
): upstream.PrefillCommand {
  return {
    id: "r1",
    attempt: 1,
    model: "model",
    prompt,
    continuation: "",
    priority: 1,
    deadlineMs: 60_000,
    ...changes,
  };
}

export function createDecodeCommand(
  handle: string,
  changes: Partial<upstream.DecodeCommand> = {},
): upstream.DecodeCommand {
  return {
    id: "r1",
    attempt: 1,
    model: "model",
    source: PREFILL_RUNNER,
    handle,
    offset: 0,
    maxTokens: 100,
    priority: 1,
    deadlineMs: 60_000,
    ...changes,
  };
}

/** Output of a stream, as far as it has been read. */
export interface Output {
  readonly tokens: string[];
  end: string | undefined;
  error: string | undefined;
}

/** Reads a stream in the background. */
export function readOutput(stream: AsyncIterable<upstream.DecodeEvent>): Output {
  const output: Output = { tokens: [], end: undefined, error: undefined };
  void readAll();
  return output;

  async function readAll(): Promise<void> {
    try {
      for await (const event of stream) {
        if (event.type === "token") output.tokens.push(event.text);
        if (event.type === "end") output.end = event.finishReason;
      }
    } catch (error) {
      output.error = (error as Error).name;
    }
  }
}
