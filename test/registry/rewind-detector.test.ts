/**
 * A platform that came back from a copy was told by the epoch in its answers alone. Where they name the epoch of before, or none,
 * VMs dropped all that followed as older. What shows the return instead must not be mistaken for a late or a stray answer.
 */
import * as test from "node:test";
import * as earl from "earl";
import * as registryView from "../../src/registry/registry-view.js";
import * as rewindDetector from "../../src/registry/rewind-detector.js";
import type * as types from "../../src/registry/types.js";
import * as unnamedAnswers from "../../src/registry/unnamed-answers.js";
import * as logEvents from "../../src/telemetry/log-events.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as inertMetrics from "../telemetry/inert-metrics.js";

const CONFIRMED_MS = 200;

type Snapshot = types.RegistrySnapshot<string>;

const item = (key: string, revision: number) => ({ key, revision, value: `${key}${revision}` });

/** Creates a detector whose view knows item "a" of revision 60 at revision 90. */
function createDetector(epoch?: number) {
  const clock = fakeClock.createFakeClock();
  const view = new registryView.RegistryView<string>(clock);
  view.applySnapshot({ epoch, revision: 90, items: [item("a", 60)] });
  const findings: unknown[] = [];
  let takenCount = 0;
  const unnamed = new unnamedAnswers.UnnamedAnswers(clock);
  const detector = new rewindDetector.RewindDetector({
    ...{ name: "runners", view, unnamed, clock, metrics: inertMetrics.createInertMetrics() },
    log: {
      write: ({ number }, fields) => {
        if (number === logEvents.LOG_EVENTS.registryRewound.number) findings.push(fields?.finding);
        else takenCount += 1;
      },
    },
  });
  const place = async (first: Snapshot, second: Snapshot = first, meanwhile?: () => void) => {
    const known = detector.createKnown();
    meanwhile?.();
    const placed = detector.verifySnapshot(known, first, () => Promise.resolve(second));
    // Only the result is of interest, which is awaited below.
    placed.catch(() => undefined);
    await clock.advance(CONFIRMED_MS);
    return await placed;
  };
  return { clock, view, detector, findings, place, countTaken: () => takenCount };
}

const readPosition = (placed: Snapshot | undefined) =>
  placed && [placed.epoch, placed.rewinds, placed.revision];

test.describe("RewindDetector", () => {
  for (const epoch of [undefined, 3]) {
    const name = epoch === undefined ? "no epoch" : "the epoch of before";
    test.it(
      `begins a part of an epoch once two answers lack a known revision, and name ${name}`,
      async () => {
        const { findings, place, view } = createDetector(epoch);
        const placed = await place({ epoch, revision: 50, items: [item("a", 40)] });
        earl.expect(readPosition(placed)).toEqual([epoch ?? 0, 1, 50]);
        earl.expect(findings).toEqual(["seen", "confirmed"]);
        earl.expect(view.applySnapshot(placed as Snapshot)).toEqual(true);
        // What is read then is compared with what is known of that part.
        const later = await place({ epoch, revision: 51, items: [item("a", 40)] });
        earl.expect(readPosition(later)).toEqual([epoch ?? 0, 1, 51]);
        const again = await place({ epoch, revision: 30, items: [] });
        earl.expect(readPosition(again)).toEqual([epoch ?? 0, 2, 30]);
      },
    );
  }

  test.it(
    "begins one if a known item is older, though the revision has grown past the lost ones",
    async () => {
      const { place } = createDetector();
      const placed = await place({ revision: 95, items: [item("a", 40), item("b", 94)] });
      earl.expect(readPosition(placed)).toEqual([0, 1, 95]);
    },
  );

  test.it("begins none after one stray answer of an outdated server", async () => {
    const { findings, place } = createDetector();
    const stray = { revision: 50, items: [item("a", 40)] };
    const placed = await place(stray, { revision: 91, items: [item("a", 60)] });
    earl.expect(readPosition(placed)).toEqual([0, 0, 91]);
    earl.expect(findings).toEqual(["seen", "discarded"]);
  });

  test.it("begins none if the history was compacted, or an item removed", async () => {
    const { findings, place, detector } = createDetector();
    earl.expect(detector.verifyChanges(detector.createKnown(), undefined)).toEqual(undefined);
    const placed = await place({ revision: 90, items: [] });
    earl.expect(readPosition(placed)).toEqual([0, 0, 90]);
    earl.expect(findings).toEqual([]);
  });

  test.it(
    "begins none if an answer lacks what was learned while its call was under way",
    async () => {
      const { findings, place, view } = createDetector();
      const late = { revision: 90, items: [item("a", 60)] };
      const learned = { revision: 99, changes: [{ removed: false as const, item: item("a", 99) }] };
      const placed = await place(late, late, () => {
        view.applyChanges(learned, "push");
      });
      earl.expect(readPosition(placed)).toEqual([0, 0, 90]);
      earl.expect(findings).toEqual([]);
    },
  );

  test.it(
    "begins one if an answer lacks what only a peer knew, in the same part of the epoch",
    async () => {
      const { detector, place } = createDetector();
      detector.recordTold({ epoch: 0, rewinds: 1, revision: 300 });
      earl.expect(readPosition(await place({ revision: 91, items: [] }))).toEqual([0, 0, 91]);
      const other = createDetector();
      other.detector.recordTold({ epoch: 0, revision: 95 });
      other.detector.recordTold({ epoch: 0, revision: 93 });
      earl.expect(readPosition(await other.place({ revision: 91, items: [] }))).toEqual([0, 1, 91]);
    },
  );

  test.it("has the platform asked again if a peer told of the return meanwhile", async () => {
    const { place, view } = createDetector();
    const old = { revision: 91, items: [item("a", 60)] };
    const pulled = { epoch: 0, rewinds: 1, revision: 50, items: [item("a", 40)] };
    const placed = await place(old, old, () => view.applySnapshot(pulled, "pull"));
    earl.expect(placed).toEqual(undefined);
  });

  test.it(
    "reads all again after a watch whose answer is of a lower revision than it began at",
    () => {
      const { detector } = createDetector();
      const known = { epoch: 0, rewinds: 0, revision: 90 };
      earl.expect(detector.verifyChanges(known, { revision: 50, changes: [] })).toEqual(undefined);
      const later = detector.verifyChanges(known, { revision: 92, changes: [] });
      earl.expect(later?.revision).toEqual(92);
    },
  );

  test.it("refuses answers without an epoch for seconds, and then takes them", async () => {
    const { clock, place, countTaken } = createDetector(3);
    const unnamed = { revision: 50, items: [item("a", 40)] };
    for (let count = 0; count < 4; count += 1) {
      await earl.expect(place(unnamed)).toBeRejectedWith("platform answered in epoch 0");
      await clock.advance(800);
    }
    // One that names the epoch begins the time anew.
    await place({ epoch: 3, revision: 91, items: [item("a", 60)] });
    for (let count = 0; count < 5; count += 1) {
      await earl.expect(place(unnamed)).toBeRejectedWith("platform answered in epoch 0");
      await clock.advance(800);
    }
    await clock.advance(800);
    earl.expect(readPosition(await place(unnamed))).toEqual([3, 1, 50]);
    earl.expect(countTaken()).toEqual(1);
  });

  test.it("takes no answer of a lower epoch, however long", async () => {
    const { clock, place } = createDetector(3);
    for (let count = 0; count < 12; count += 1) {
      const lower = place({ epoch: 2, revision: 95, items: [] });
      await earl.expect(lower).toBeRejectedWith("platform answered in epoch 2");
      await clock.advance(800);
    }
  });
});
