import * as test from "node:test";
import * as earl from "earl";
import * as sendAccount from "../../src/request/send-account.js";
import * as requestTraits from "../../src/serving/request-traits.js";
import type * as serving from "../../src/serving/types.js";
import * as fixture from "./serving-fixture.js";

const { prefill, run } = sendAccount.SEND_STEP;
const CRASHES = fixture.createInertCrashRecords();

function createModelCall(partIds: readonly string[], callerIp = "10.0.0.1"): serving.ServedCall {
  const prompt = { model: "m", promptTokens: 1, maxOutputTokens: 1, expectedOutputTokens: 1 };
  const { call } = fixture.createCall({}, { prompt: { ...prompt, partIds } });
  const engine = {} as unknown as NonNullable<serving.ServedCall["service"]["engine"]>;
  return { ...call, callerIp, service: { ...call.service, engine } };
}

function listCommon(first: serving.ServedCall, second: serving.ServedCall): readonly string[] {
  const hashes = requestTraits.listTraits(CRASHES, second, run).map(({ hash }) => hash);
  return requestTraits
    .listTraits(CRASHES, first, run)
    .filter(({ hash }) => hashes.includes(hash))
    .map(({ kind }) => kind);
}

test.describe("listTraits", () => {
  test.it("finds what model requests share, but not their last parts", () => {
    const first = createModelCall(["a", "b", "own"]);
    earl
      .expect(listCommon(first, createModelCall(["a", "b", "other"])))
      .toEqual(["part", "part", "parts", "caller"]);
    earl
      .expect(listCommon(first, createModelCall(["x", "b", "own"], "10.0.0.2")))
      .toEqual(["part"]);
    earl.expect(listCommon(first, createModelCall(["own"], "10.0.0.2"))).toEqual([]);
  });

  test.it("tells the traits of a prefill from those of a run", () => {
    const call = createModelCall(["a", "own"]);
    const runTraits = requestTraits.listTraits(CRASHES, call, run).map(({ hash }) => hash);
    const prefillTraits = requestTraits.listTraits(CRASHES, call, prefill);
    earl.expect(prefillTraits.length).toEqual(runTraits.length);
    earl.expect(prefillTraits.filter(({ hash }) => runTraits.includes(hash))).toEqual([]);
  });

  test.it("bounds the traits of a request, whose parts the caller chooses", () => {
    const parts = Array.from({ length: 1_000 }, (_, index) => `p${index}`);
    earl
      .expect(requestTraits.listTraits(CRASHES, createModelCall(parts), run).length <= 40)
      .toEqual(true);
  });

  test.it("takes path and caller of a plain request", () => {
    const { call } = fixture.createCall({});
    const other = { ...call, body: Buffer.from("other") };
    earl.expect(listCommon(call, other)).toEqual(["path", "caller"]);
  });
});
