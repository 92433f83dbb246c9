/** Calls to a runner whose answers have no end take the time and the memory of the calls to others. */
import * as test from "node:test";
import * as earl from "earl";
import * as runnerRecord from "../../src/runners/runner-record.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as raw from "./raw-runner.js";

function createRecord() {
  const clock = fakeClock.createFakeClock();
  return { clock, record: new runnerRecord.RunnerRecord(raw.createRunner("r", 1), clock) };
}

test.describe("RunnerRecord of a runner whose answers have no end", () => {
  test.it("gets no call after three such answers, and one at a time later", async () => {
    const { clock, record } = createRecord();
    for (let number = 0; number < 2; number += 1) record.recordEndlessAnswer();
    earl.expect(record.isRefused).toEqual(false);
    record.recordEndlessAnswer();
    earl.expect(record.isRefused).toEqual(true);
    await clock.advance(1_000);
    earl.expect(record.isRefused).toEqual(false);
    record.startCall();
    earl.expect(record.isRefused).toEqual(true);
    record.recordEndlessAnswer();
    await clock.advance(1_900);
    earl.expect(record.isRefused).toEqual(true);
    await clock.advance(100);
    earl.expect(record.isRefused).toEqual(false);
  });

  test.it("gets calls again after a sound answer", async () => {
    const { clock, record } = createRecord();
    for (let number = 0; number < 5; number += 1) record.recordEndlessAnswer();
    await clock.advance(1_000);
    record.startCall();
    record.recordResult(true);
    earl.expect(record.isRefused).toEqual(false);
  });

  // Runners that spoil some of their answers stay in use.
  test.it("is not refused while sound answers come between", () => {
    const { record } = createRecord();
    for (let number = 0; number < 20; number += 1) {
      record.recordEndlessAnswer();
      record.recordEndlessAnswer();
      record.recordResult(true);
    }
    earl.expect(record.isRefused).toEqual(false);
  });
});
