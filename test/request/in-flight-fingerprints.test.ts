import * as test from "node:test";
import * as earl from "earl";
import * as virtualClock from "../../bench/virtual-clock.js";
import * as inFlightFingerprints from "../../src/request/in-flight-fingerprints.js";

test.describe("InFlightFingerprints", () => {
  test.it(
    "returns all fingerprints in flight at the first broken stream of a crash and none at later ones",
    async () => {
      const clock = new virtualClock.VirtualClock();
      const running = new inFlightFingerprints.InFlightFingerprints(clock);
      using _first = running.add("d1", "a");
      using _second = running.add("d1", "b");
      using _elsewhere = running.add("d2", "c");
      earl.expect(running.recordBrokenStream("d1", "x")).toEqual(["x", "a", "b"]);
      earl.expect(running.recordBrokenStream("d1", "a")).toEqual([]);
      earl.expect(running.recordBrokenStream("d2", "c")).toEqual(["c"]);
      await clock.run(clock.now() + 1_000);
      earl.expect(running.recordBrokenStream("d1", "b")).toEqual(["b", "a"]);
    },
  );

  test.it("removes a fingerprint once all its requests have ended", () => {
    const running = new inFlightFingerprints.InFlightFingerprints(new virtualClock.VirtualClock());
    using _kept = running.add("d1", "a");
    running.add("d1", "a")[Symbol.dispose]();
    running.add("d1", "b")[Symbol.dispose]();
    earl.expect(running.recordBrokenStream("d1", "x")).toEqual(["x", "a"]);
  });
});
