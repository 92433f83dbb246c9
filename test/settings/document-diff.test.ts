import * as test from "node:test";
import * as earl from "earl";
import * as diffs from "../../src/settings/document-diff.js";
import * as effects from "../../src/settings/document-effects.js";
import * as examples from "./examples.js";

test.describe("computeDocumentDiff", () => {
  const before = examples.readExample("lagos.json");

  test.it("finds no changes and no effects for equal documents", () => {
    const diff = diffs.computeDocumentDiff(before, examples.readExample("lagos.json"));
    earl.expect(diff).toEqual({ changes: [], effects: [] });
  });

  test.it("predicts the drains, the weight loads and the load time of a new model version", () => {
    const models = before.models.map((model) => ({ ...model, version: "2026.12" }));
    const diff = diffs.computeDocumentDiff(before, { ...before, revision: 2, models });
    const kinds = diff.effects.map((effect) => effect.kind);
    earl.expect(kinds.filter((kind) => kind === effects.EFFECT_KIND.load).length).toEqual(6);
    earl.expect(kinds.filter((kind) => kind === effects.EFFECT_KIND.drain).length).toEqual(6);
    earl.expect(effects.computeLoadMs(diff.effects)).toEqual(192_000);
    earl
      .expect(diff.changes.flatMap(diffs.formatChange))
      .toEqual([
        "changed revision",
        "  revision: 1 -> 2",
        "changed models iono-llm",
        '  version: "2026.11" -> "2026.12"',
      ]);
  });

  test.it("predicts a drain but no weight load for a role change", () => {
    const runners = before.runners.map((runner) =>
      runner.name === "iono-p1" ? { ...runner, pool: "iono-decode" } : runner,
    );
    const diff = diffs.computeDocumentDiff(before, { ...before, runners });
    earl.expect(diff.effects.map((effect) => effect.kind)).toEqual(["drain", "role"]);
  });

  test.it("predicts a drain of every runner that moves to another address", () => {
    const runners = before.runners.map((runner) => ({ ...runner, host: "127.0.0.2" }));
    const diff = diffs.computeDocumentDiff(before, { ...before, runners });
    earl.expect(diff.effects.length).toEqual(6);
    earl.expect(diff.effects[0]?.message ?? "").toInclude("moves to 127.0.0.2:7101");
  });

  test.it("predicts the drain of a removed runner and the refusal of a removed caller", () => {
    const diff = diffs.computeDocumentDiff(before, {
      ...before,
      callers: before.callers.slice(1),
      runners: before.runners.slice(1),
    });
    const targets = diff.effects.map((effect) => `${effect.kind} ${effect.target}`);
    earl.expect(targets).toEqual(["drain iono-p1", "refuse port-cranes"]);
  });
});
