import * as test from "node:test";
import * as earl from "earl";
import * as virtualClock from "../../bench/virtual-clock.js";
import * as inFlightFingerprints from "../../src/request/in-flight-fingerprints.js";

test.describe("InFlightFingerprints", () => {
  test.it(
    "returns all fingerprints in flight at a runner for the first broken request of a crash only",
    async () => {
      const clock = new virtualClock.VirtualClock();
      const inFlight = new inFlightFingerprints.InFlightFingerprints(clock);
      using _first = inFlight.add("d1", "a");
      using _second = inFlight.add("d1", "b");
      using _elsewhere = inFlight.add("d2", "c");
      earl.expect(inFlight.recordBreak("d1", "x")).toEqual(["x", "a", "b"]);
      earl.expect(inFlight.recordBreak("d1", "a")).toEqual([]);
      earl.expect(inFlight.recordBreak("d2", "c")).toEqual(["c"]);
      await clock.run(clock.now() + 1_000);
      earl.expect(inFlight.recordBreak("d1", "b")).toEqual(["b", "a"]);
    },
  );

  test.it("removes a fingerprint once all its requests have ended", () => {
    const inFlight = new inFlightFingerprints.InFlightFingerprints(new virtualClock.VirtualClock());
    using _kept = inFlight.add("d1", "a");
    inFlight.add("d1", "a")[Symbol.dispose]();
    inFlight.add("d1", "b")[Symbol.dispose]();
    earl.expect(inFlight.recordBreak("d1", "x")).toEqual(["x", "a"]);
  });
});
