import * as test from "node:test";
import * as earl from "earl";
import * as fleetDocument from "../../bench/fleet-document.js";
import * as virtualClock from "../../bench/virtual-clock.js";
import * as catalogs from "../../src/capacity/runner-catalog.js";
import * as messages from "../../src/capacity/messages.js";
import * as policies from "../../src/capacity/policy.js";
import * as prefixes from "../../src/capacity/prefix-index.js";
import * as health from "../../src/capacity/runner-health.js";
import * as views from "../../src/capacity/runner-views.js";
import * as selectors from "../../src/capacity/runner-selector.js";
import * as transfers from "../../src/capacity/transfer-times.js";
import * as random from "../../src/kernel/random.js";
import * as fixtures from "./capacity-fixture.js";

const CATALOG = new catalogs.RunnerCatalog(fleetDocument.createFleetDocument());
const NONE = new Set<string>();

function createSelector(sampleSize: number) {
  const clock = new virtualClock.VirtualClock();
  const options = {
    random: random.createSeededRandom(3),
    policy: { ...policies.DEFAULT_POLICY, sampleSize },
    health: new health.RunnerHealth(clock),
    views: new views.RunnerViews(clock),
    transfers: new transfers.TransferTimes(),
    prefixIndex: new prefixes.PrefixIndex(),
    now: () => clock.now(),
  };
  return { ...options, selector: new selectors.RunnerSelector(options) };
}

function createView(runner: string, changes: Partial<messages.RunnerView>): messages.RunnerView {
  const free = {
    waitMs: 0,
    freeSlots: 5,
    slowdown: 1,
    available: true,
    gapMs: 30,
    probeDue: false,
  };
  return { runner, ...free, ...changes };
}

function createDemand(blocks: readonly string[] = []) {
  const changes = { model: fleetDocument.MODEL, promptTokens: 6400, prefixes: blocks };
  return fixtures.createDemand("a", 0, changes);
}

test.describe("RunnerSelector", () => {
  const [prefill] = CATALOG.listServing(fleetDocument.MODEL, "prefill");
  if (prefill === undefined) throw new Error(`no prefill runner for ${fleetDocument.MODEL}`);

  test.it("chooses the decode runner with the shortest expected wait", () => {
    const { selector, views: runnerViews } = createSelector(100);
    runnerViews.update(["d0", "d1", "d2", "d4"].map((name) => createView(name, { waitMs: 500 })));
    runnerViews.update([createView("d3", { waitMs: 20 })]);
    const chosen = selector.chooseDecode(CATALOG, createDemand(), prefill, NONE);
    earl.expect(chosen?.name).toEqual("d3");
  });

  test.it("chooses no excluded, failed, unavailable or slow decode runner", () => {
    const { selector, views: runnerViews, health: runnerHealth } = createSelector(100);
    runnerHealth.recordFailure("d0");
    runnerViews.update([createView("d1", { available: false }), createView("d2", { gapMs: 90 })]);
    const chosen = selector.chooseDecode(CATALOG, createDemand(), prefill, new Set(["d3"]));
    earl.expect(chosen?.name).toEqual("d4");
  });

  test.it(
    "prefers the prefill runner that has the prefix cached, unless its queue is longer",
    () => {
      const blocks = Array.from({ length: 100 }, (_, index) => `h${index}`);
      const { selector, views: runnerViews, prefixIndex } = createSelector(100);
      prefixIndex.add("p1", blocks, 0);
      const demand = createDemand(blocks);
      earl.expect(selector.choosePrefill(CATALOG, demand, NONE)?.runner.name).toEqual("p1");
      runnerViews.update([createView("p1", { waitMs: 5000 })]);
      earl.expect(selector.choosePrefill(CATALOG, demand, NONE)?.runner.name).not.toEqual("p1");
    },
  );
});
