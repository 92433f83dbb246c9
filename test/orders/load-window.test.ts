import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as runnerOrder from "../../src/orders/runner-order.js";
import * as loadWindow from "../../src/orders/load-window.js";
import * as fakeRunners from "./fake-runners.js";

const DESIRED = runnerOrder.computeDesiredRunners(fakeRunners.createRunnersDocument(1, "v1", true));
const BYTES_PER_SECOND = fakeRunners.BYTES_PER_SECOND;
const LOAD_MS = (fakeRunners.WEIGHT_BYTES / BYTES_PER_SECOND) * 1000;

function listOpenWindows(wallTime: number): readonly string[] {
  return DESIRED.map((entry) => entry.runner.name).filter(
    (name) => loadWindow.computeLoadWindow(DESIRED, BYTES_PER_SECOND, name, wallTime).isOpen,
  );
}

test.describe("computeLoadWindow", () => {
  test.it(
    "opens no window of a second runner while a load of the first can still be running",
    () => {
      const time = fastCheck.nat({ max: 10_000_000 });
      const later = fastCheck.nat({ max: LOAD_MS - 1 });
      fastCheck.assert(
        fastCheck.property(time, later, (start, afterMs) => {
          const open = new Set([...listOpenWindows(start), ...listOpenWindows(start + afterMs)]);
          return open.size <= 1;
        }),
        { seed: 7 },
      );
    },
  );

  test.it("returns a next window that is open at its start", () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.nat({ max: 10_000_000 }), (wallTime) =>
        DESIRED.every(({ runner }) => {
          const { nextAt } = loadWindow.computeLoadWindow(
            DESIRED,
            BYTES_PER_SECOND,
            runner.name,
            wallTime,
          );
          const next = loadWindow.computeLoadWindow(DESIRED, BYTES_PER_SECOND, runner.name, nextAt);
          return nextAt > wallTime && next.isOpen;
        }),
      ),
      { seed: 7 },
    );
    earl.expect(DESIRED).toHaveLength(4);
  });
});
