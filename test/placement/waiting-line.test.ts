import * as test from "node:test";
import * as earl from "earl";
import * as waitingLine from "../../src/placement/waiting-line.js";
import * as fakeClock from "../../standins/fake-clock.js";

interface Entry extends waitingLine.LineEntry {
  readonly name: string;
}

const PATIENCE_MS = 2_500;

function createEntry(name: string, size = 1, returned = false): Entry {
  return { name, size, returned };
}

test.describe("WaitingLine", () => {
  test.it("lets the older go first among equals", () => {
    const line = new waitingLine.WaitingLine<Entry>(fakeClock.createFakeClock());
    line.add(createEntry("older"), 500, PATIENCE_MS);
    line.add(createEntry("newer"), 700, PATIENCE_MS);
    earl.expect(line.findNext()?.entry.name).toEqual("older");
  });

  test.it(
    "lets a short request pass a long one that came a little earlier, not much earlier",
    () => {
      const line = new waitingLine.WaitingLine<Entry>(fakeClock.createFakeClock());
      line.add(createEntry("long", 2), 600, PATIENCE_MS);
      line.add(createEntry("short", 0.5), 650, PATIENCE_MS);
      earl.expect(line.findNext()?.entry.name).toEqual("short");
      line.add(createEntry("much older", 2), 100, PATIENCE_MS);
      earl.expect(line.findNext()?.entry.name).toEqual("much older");
    },
  );

  test.it("serves who can be on time before who cannot, and then who came back first", async () => {
    const clock = fakeClock.createFakeClock();
    const line = new waitingLine.WaitingLine<Entry>(clock);
    line.add(createEntry("late"), 100, PATIENCE_MS);
    line.add(createEntry("back", 1, true), -50, PATIENCE_MS);
    line.add(createEntry("on time"), 800, PATIENCE_MS);
    await clock.advance(200);
    const first = line.findNext();
    earl.expect(first?.entry.name).toEqual("on time");
    earl.expect(first?.late).toEqual(false);
    if (first !== undefined) line.recordGrant(first.entry);
    earl.expect(line.findNext()).toEqual({ entry: createEntry("back", 1, true), late: true });
  });

  test.it("refuses at once who would wait in vain, and says when to come back", () => {
    const line = new waitingLine.WaitingLine<Entry>(fakeClock.createFakeClock());
    for (let count = 0; count < 8; count += 1) {
      earl.expect(line.add(createEntry(`${count}`), 500, PATIENCE_MS)).toEqual(undefined);
    }
    const refusal = line.add(createEntry("too many"), 500, PATIENCE_MS);
    earl.expect(refusal).toEqual({ retryAfterMs: 4_500 });
    earl.expect(line.add(createEntry("back", 1, true), -10, PATIENCE_MS)).toEqual(undefined);
  });

  test.it("gives up those whose patience has ended", async () => {
    const clock = fakeClock.createFakeClock();
    const line = new waitingLine.WaitingLine<Entry>(clock);
    line.add(createEntry("impatient"), 100, 300);
    earl.expect(line.computeNextChange()).toEqual(101);
    await clock.advance(301);
    earl.expect(line.removeExpired().map((given) => given.entry.name)).toEqual(["impatient"]);
    earl.expect(line.size).toEqual(0);
  });
});
