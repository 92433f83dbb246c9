import * as test from "node:test";
import * as earl from "earl";
import * as prefillLoad from "../../src/placement/prefill-load.js";

const TOKENS_PER_MS = 55;
const PROMPT_TOKENS = 5_500;
const PREFILL_MS = PROMPT_TOKENS / TOKENS_PER_MS;

test.describe("PrefillLoad", () => {
  test.it("estimates the speed of a runner that is never idle", () => {
    const load = new prefillLoad.PrefillLoad();
    // Three prompts are always pending, so each takes three times as long as on an idle runner.
    for (let number = 0; number < 60; number += 1) {
      const now = number * PREFILL_MS;
      if (number >= 3) load.remove(`p${number - 3}`, 3 * PREFILL_MS);
      load.add(`p${number}`, PROMPT_TOKENS, now);
    }
    earl.expect(Math.abs(load.tokensPerMs / TOKENS_PER_MS - 1) < 0.1).toEqual(true);
  });

  test.it("estimates the speed of a runner that is mostly idle", () => {
    const load = new prefillLoad.PrefillLoad();
    for (let number = 0; number < 60; number += 1) {
      load.add(`p${number}`, PROMPT_TOKENS, number * 1_000);
      load.remove(`p${number}`, PREFILL_MS);
    }
    earl.expect(Math.abs(load.tokensPerMs / TOKENS_PER_MS - 1) < 0.05).toEqual(true);
  });

  // Without a time, the prompt failed; a partly processed prompt would skew the speed.
  test.it("keeps the speed estimate when a prompt of the busy period fails", () => {
    const load = new prefillLoad.PrefillLoad();
    const before = load.tokensPerMs;
    load.add("p1", PROMPT_TOKENS, 0);
    load.add("p2", PROMPT_TOKENS, 0);
    load.remove("p1");
    load.remove("p2", 5_000);
    earl.expect(load.tokensPerMs).toEqual(before);
    earl.expect(load.computeQueueTime()).toEqual(0);
  });
});
