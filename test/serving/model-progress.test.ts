import * as test from "node:test";
import * as earl from "earl";
import * as sendAccount from "../../src/request/send-account.js";
import * as modelProgress from "../../src/serving/model-progress.js";
import * as raw from "../runners/raw-runner.js";
import * as fixture from "./serving-fixture.js";

const PROMPT = { runner: raw.createRunner("p1", 1), handle: "h", expiresAt: 1 };

/** Creates the progress of a request, and the costs that it reserves from a budget without limit. */
function createProgress(maxRunners: number) {
  const reserved: number[] = [];
  const account = new sendAccount.SendAccount(maxRunners, {
    reserve: (cost) => reserved.push(cost) > 0,
    release: () => undefined,
  });
  const progress = new modelProgress.ModelProgress(fixture.createCall({}).call, account);
  return { progress, reserved };
}

test.describe("ModelProgress", () => {
  test.it("is exhausted once the events hold all output that the request allows", () => {
    const prompt = { model: "m", promptTokens: 9, maxOutputTokens: 100, partIds: [] };
    const engine = { tokensPerEvent: 40 };
    const createStream = (lastEventId: string | undefined, events: number): boolean => {
      const head = { prompt: { ...prompt, expectedOutputTokens: undefined }, lastEventId };
      const { call } = fixture.createCall({}, head);
      const service = { ...call.service, engine } as never;
      const account = new sendAccount.SendAccount(1, {
        reserve: () => true,
        release: () => undefined,
      });
      const progress = new modelProgress.ModelProgress({ ...call, service }, account);
      progress.recordEvents({ count: events, firstId: "0", lastId: "1" }, 0);
      return progress.isExhausted;
    };
    earl.expect([createStream(undefined, 2), createStream(undefined, 3)]).toEqual([false, true]);
    earl.expect(createStream("0", 3)).toEqual(false);
  });

  // Guards against BUDGET: a retry that repeats prefill and decode took one retry from the budget.
  test.it("reserves a retry for each request that another placement repeats", () => {
    const { progress, reserved } = createProgress(3);
    progress.startPrefill("p1");
    earl.expect([progress.reserveRetry(), reserved]).toEqual([true, [1]]);
    progress.startPrefill("p2");
    progress.setPrefilled(PROMPT);
    progress.startDecode(raw.createRunner("d1", 1));
    progress.setPrefilled(undefined);
    earl
      .expect([progress.reserveRetry(), reserved, progress.skipsPrefill])
      .toEqual([true, [1, 1], true]);
  });

  // Guards against BUDGET: a prompt was prefilled anew although that reached more runners than the route allows.
  test.it("skips the prefill of a retry that would reach too many runners", () => {
    for (const maxRunners of [1, 2]) {
      const { progress, reserved } = createProgress(maxRunners);
      progress.startPrefill("p1");
      if (maxRunners === 2) progress.startDecode(raw.createRunner("d1", 1));
      earl.expect([progress.reserveRetry(), progress.skipsPrefill]).toEqual([true, true]);
      earl.expect(reserved).toEqual(maxRunners === 2 ? [1] : []);
      progress.startDecode(raw.createRunner("d2", 1));
      earl.expect(progress.reserveRetry()).toEqual(false);
    }
  });
});
