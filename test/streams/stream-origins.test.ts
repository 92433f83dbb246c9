import * as test from "node:test";
import * as earl from "earl";
import * as streamOrigins from "../../src/streams/stream-origins.js";
import * as fakeClock from "../../standins/fake-clock.js";

const ORIGIN = {
  attempt: "a",
  service: "s",
  runner: "r",
  run: 1,
  bornAt: 1,
  softwareVersion: "v1",
};

test.describe("StreamOrigins", () => {
  // Guards against the record of a run without an event replacing that of the run that began the stream.
  test.it("keeps the origin of the latest run, in whatever order messages arrive", () => {
    const origins = new streamOrigins.StreamOrigins(fakeClock.createFakeClock());
    const later = { ...ORIGIN, run: 2, softwareVersion: "v2" };
    origins.set(later);
    origins.set(ORIGIN);
    earl.expect(origins.find("a")).toEqual(later);
  });

  test.it("forgets an origin after a minute, unless it is announced again", async () => {
    const clock = fakeClock.createFakeClock();
    const origins = new streamOrigins.StreamOrigins(clock);
    origins.set(ORIGIN);
    await clock.advance(50_000);
    origins.set(ORIGIN);
    await clock.advance(50_000);
    earl.expect(origins.find("a")).toEqual(ORIGIN);
    await clock.advance(10_001);
    earl.expect(origins.find("a")).toEqual(undefined);
  });
});
