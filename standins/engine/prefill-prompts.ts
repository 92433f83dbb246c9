/** What an engine derives from the text of a prefill command. */
import * as prompts from "../../src/request/prompts.js";
import type * as upstream from "../../src/upstream/types.js";
import * as expectedTokens from "./expected-tokens.js";

/** Returns the cached blocks' hashes; they depend on the adapter as well as on the model. */
export function listPrefixes(command: upstream.PrefillCommand): readonly string[] {
  const { model, adapter, prompt, continuation } = command;
  return prompts.computePrefixHashes(model, adapter, prompt + continuation);
}

/** Output that is to be continued. */
export interface Continuation {
  readonly tokens: number;
  /** Whether the model would have generated it. */
  readonly valid: boolean;
}

/** Counts the tokens of a continuation and compares them with the model's own. */
export function parseContinuation(command: upstream.PrefillCommand): Continuation {
  const tokens = command.continuation.split(" ").length - 1;
  const { seed } = expectedTokens.computeOutputSeed(command.prompt);
  let expected = "";
  for (let offset = 0; offset < tokens; offset += 1) {
    expected += expectedTokens.computeToken(seed, offset);
  }
  return { tokens, valid: expected === command.continuation };
}
