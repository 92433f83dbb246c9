/**
 * Guards against VMs that stay at an older configuration after a gap in the history, since the full read that follows fails again
 * and again: what one VM reads must reach those whose reads fail, and all must follow once the platform serves again.
 */
import * as test from "node:test";
import * as earl from "earl";
import * as clocks from "../../src/kernel/clock.js";
import * as relayFleet from "./relay-fleet.js";

/** Time within which a change is in force everywhere. */
const IN_FORCE_MS = 2_000;
const CUT_AFTER_MS = 120;
const CHANGES = 8;
const BETWEEN_MS = 700;

type Failure = (clock: clocks.Clock, signal: AbortSignal) => Promise<void>;

/** Ways in which a full read fails. */
const FAILURES: Readonly<Record<string, Failure>> = {
  "a refusal": () => Promise.reject(new Error("store answered 503")),
  "no answer": (clock, signal) => clocks.sleep(clock, 60_000, signal),
  "a cut body": async (clock, signal) => {
    await clocks.sleep(clock, CUT_AFTER_MS, signal);
    throw new Error("body was cut");
  },
};

/** Lets the watches of some VMs meet a gap, and their full reads fail from then on. */
async function startFailing(
  relayed: relayFleet.RelayFleet,
  failure: Failure,
  isFailing: (vm: string) => boolean,
): Promise<void> {
  const { registry, fleet } = relayed;
  registry.holdRead = async (vm, signal) => {
    if (isFailing(vm)) await failure(fleet.clock, signal);
  };
  registry.hasGap = isFailing;
  await fleet.clock.advance(1_000);
}

function stopFailing({ registry }: relayFleet.RelayFleet): void {
  registry.hasGap = () => false;
  registry.holdRead = () => Promise.resolve();
}

/** Returns the longest time that a change took to reach every VM. */
async function changeOften(relayed: relayFleet.RelayFleet): Promise<number> {
  const vms = [...relayed.views.keys()];
  let longestMs = 0;
  for (let number = 1; number <= CHANGES; number += 1) {
    relayed.registry.set("b", `b${number}`);
    const tookMs = await relayed.waitForValue("b", `b${number}`, vms);
    longestMs = Math.max(longestMs, tookMs);
    await relayed.fleet.clock.advance(BETWEEN_MS);
  }
  return longestMs;
}

test.describe("a gap whose full read fails again and again", () => {
  for (const [what, failure] of Object.entries(FAILURES)) {
    for (const size of [4, 9, 30]) {
      const name = `${what} and ${size} VMs`;
      test.it(`keeps no change from VMs whose own reads fail, with ${name}`, async () => {
        await using relayed = await relayFleet.RelayFleet.start(size);
        const vms = [...relayed.views.keys()];
        const [served] = relayed.listReaders();
        const first = served ?? vms[0];
        await startFailing(relayed, failure, (vm) => vm !== first);
        earl.expect((await changeOften(relayed)) <= IN_FORCE_MS).toEqual(true);
      });

      test.it(`ends with the platform's failures, with ${name}`, async () => {
        await using relayed = await relayFleet.RelayFleet.start(size);
        const vms = [...relayed.views.keys()];
        await startFailing(relayed, failure, () => true);
        relayed.registry.set("b", "b1");
        await relayed.fleet.clock.advance(12_000);
        stopFailing(relayed);
        earl.expect((await relayed.waitForValue("b", "b1", vms)) <= IN_FORCE_MS).toEqual(true);
      });
    }
  }

  test.it("keeps no change from readers when only other VMs are served", async () => {
    await using relayed = await relayFleet.RelayFleet.start(30);
    const readers = new Set(relayed.listReaders());
    await startFailing(
      relayed,
      () => Promise.reject(new Error("429")),
      (vm) => readers.has(vm),
    );
    earl.expect((await changeOften(relayed)) <= IN_FORCE_MS).toEqual(true);
  });
});
