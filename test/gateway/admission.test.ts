/**
 * On a full processor all requests that had arrived began at once, before anything else was handled: answers between VMs came too
 * late, and so did refusals, as requests waited until their deadlines.
 */
import * as test from "node:test";
import * as earl from "earl";
import * as admissions from "../../src/gateway/admission.js";
import * as resultCodes from "../../src/protocol/result-codes.js";
import * as fakeClock from "../../standins/fake-clock.js";

/** An admission whose turns the test runs one by one. */
function createPlay() {
  const clock = fakeClock.createFakeClock();
  const turns: (() => void)[] = [];
  let refused = 0;
  const admission = new admissions.Admission({
    clock,
    runNextTurn: (callback) => turns.push(callback),
    onRefused: () => {
      refused += 1;
    },
  });
  const ends: string[] = [];
  const addRequest = (name: string): void => {
    admission.waitForTurn().then(
      () => ends.push(`${name} begins`),
      (error: unknown) => {
        const { code, ran, retryAfterMs } = error as resultCodes.RequestError;
        ends.push(`${name} ${code.number} ${ran} ${retryAfterMs}`);
      },
    );
  };
  const runTurn = async (): Promise<void> => {
    turns.shift()?.();
    await clock.advance(0);
  };
  return { clock, admission, ends, addRequest, runTurn, turns, countRefused: () => refused };
}

test.describe("Admission", () => {
  test.it("begins few requests in a turn of the event loop, in their order", async () => {
    const { ends, addRequest, runTurn, turns } = createPlay();
    for (let number = 0; number < 5; number += 1) addRequest(String(number));
    earl.expect(turns.length).toEqual(1);
    await runTurn();
    earl.expect(ends).toEqual(["0 begins", "1 begins"]);
    await runTurn();
    await runTurn();
    earl.expect(ends.length).toEqual(5);
    earl.expect(turns.length).toEqual(0);
  });

  test.it(
    "refuses at once while requests wait for too long, and admits again afterwards",
    async () => {
      const play = createPlay();
      const { clock, admission, ends, addRequest, runTurn } = play;
      for (let number = 0; number < 4; number += 1) addRequest(String(number));
      await clock.advance(admissions.MAX_WAIT_MS + 1);
      earl.expect(admission.isFull).toEqual(true);
      addRequest("late");
      await clock.advance(0);
      earl.expect(ends).toEqual(["late 2001 no 250"]);
      await runTurn();
      await runTurn();
      earl.expect(ends.filter((end) => end.endsWith("begins"))).toEqual([]);
      earl.expect(play.countRefused()).toEqual(5);
      earl.expect(admission.isFull).toEqual(false);
      addRequest("next");
      await runTurn();
      earl.expect(ends.at(-1)).toEqual("next begins");
    },
  );
});
