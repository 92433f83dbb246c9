import * as test from "node:test";
import * as earl from "earl";
import * as placementQueue from "../../src/placement/placement-queue.js";
import * as fakeClock from "../../standins/fake-clock.js";

interface Entry extends placementQueue.QueueEntry {
  readonly name: string;
}

const MAX_WAIT_MS = 2_500;

function createEntry(name: string, relativeCost = 1, isRetry = false): Entry {
  return { name, relativeCost, isRetry, isResumed: false };
}

test.describe("PlacementQueue", () => {
  test.it("grants the older of two equal requests first", () => {
    const queue = new placementQueue.PlacementQueue<Entry>(fakeClock.createFakeClock());
    queue.add(createEntry("older"), 500, MAX_WAIT_MS);
    queue.add(createEntry("newer"), 700, MAX_WAIT_MS);
    earl.expect(queue.findNext()?.entry.name).toEqual("older");
  });

  test.it(
    "grants a cheap request before an expensive one that is slightly older, but after one that is much older",
    () => {
      const queue = new placementQueue.PlacementQueue<Entry>(fakeClock.createFakeClock());
      queue.add(createEntry("long", 2), 600, MAX_WAIT_MS);
      queue.add(createEntry("short", 0.5), 650, MAX_WAIT_MS);
      earl.expect(queue.findNext()?.entry.name).toEqual("short");
      queue.add(createEntry("much older", 2), 100, MAX_WAIT_MS);
      earl.expect(queue.findNext()?.entry.name).toEqual("much older");
    },
  );

  test.it(
    "grants a request that can be on time first, and then a late retry before another late request",
    async () => {
      const clock = fakeClock.createFakeClock();
      const queue = new placementQueue.PlacementQueue<Entry>(clock);
      queue.add(createEntry("late"), 100, MAX_WAIT_MS);
      queue.add(createEntry("back", 1, true), -50, MAX_WAIT_MS);
      queue.add(createEntry("on time"), 800, MAX_WAIT_MS);
      await clock.advance(200);
      const first = queue.findNext();
      earl.expect(first?.entry.name).toEqual("on time");
      earl.expect(first?.late).toEqual(false);
      if (first !== undefined) queue.recordGrant(first.entry);
      earl.expect(queue.findNext()).toEqual({ entry: createEntry("back", 1, true), late: true });
    },
  );

  test.it(
    "refuses a new request with a retry time if its expected wait exceeds its maximum, but queues a retry",
    () => {
      const queue = new placementQueue.PlacementQueue<Entry>(fakeClock.createFakeClock());
      for (let count = 0; count < 8; count += 1) {
        earl.expect(queue.add(createEntry(`${count}`), 500, MAX_WAIT_MS)).toEqual(undefined);
      }
      const refusal = queue.add(createEntry("too many"), 500, MAX_WAIT_MS);
      earl.expect(refusal).toEqual({ retryAfterMs: 4_500 });
      earl.expect(queue.add(createEntry("back", 1, true), -10, MAX_WAIT_MS)).toEqual(undefined);
    },
  );

  test.it("removes requests whose maximum wait has passed", async () => {
    const clock = fakeClock.createFakeClock();
    const queue = new placementQueue.PlacementQueue<Entry>(clock);
    queue.add(createEntry("impatient"), 100, 300);
    earl.expect(queue.computeTimeToNextChange()).toEqual(101);
    await clock.advance(301);
    earl.expect(queue.removeExpired().map((given) => given.entry.name)).toEqual(["impatient"]);
    earl.expect(queue.size).toEqual(0);
  });
});
