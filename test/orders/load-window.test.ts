import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as runnerOrder from "../../src/orders/runner-order.js";
import * as loadWindow from "../../src/orders/load-window.js";
import * as fakeRunners from "./fake-runners.js";

const DESIRED = runnerOrder.computeDesiredRunners(fakeRunners.createRunnersDocument(1, "v1", true));
const RATE = fakeRunners.BYTES_PER_SECOND;
const LOAD_MS = (fakeRunners.WEIGHT_BYTES / RATE) * 1000;

function listOpen(wallTime: number): readonly string[] {
  return DESIRED.map((entry) => entry.runner.name).filter(
    (name) => loadWindow.computeLoadWindow(DESIRED, RATE, name, wallTime).isOpen,
  );
}

test.describe("computeLoadWindow", () => {
  test.it("never lets the loads of two runners overlap", () => {
    const time = fastCheck.nat({ max: 10_000_000 });
    const later = fastCheck.nat({ max: LOAD_MS - 1 });
    fastCheck.assert(
      fastCheck.property(time, later, (start, afterMs) => {
        const open = new Set([...listOpen(start), ...listOpen(start + afterMs)]);
        return open.size <= 1;
      }),
      { seed: 7 },
    );
  });

  test.it("returns a next window that is open at its start", () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.nat({ max: 10_000_000 }), (wallTime) =>
        DESIRED.every(({ runner }) => {
          const { nextAt } = loadWindow.computeLoadWindow(DESIRED, RATE, runner.name, wallTime);
          const then = loadWindow.computeLoadWindow(DESIRED, RATE, runner.name, nextAt);
          return nextAt > wallTime && then.isOpen;
        }),
      ),
      { seed: 7 },
    );
    earl.expect(DESIRED).toHaveLength(4);
  });
});
