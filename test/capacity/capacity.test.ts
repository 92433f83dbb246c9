import * as test from "node:test";
import * as earl from "earl";
import * as resultCodes from "../../src/protocol/result-codes.js";
import * as fixtures from "./capacity-fixture.js";

const NEVER = new AbortController().signal;

/** Returns the refusal that a promise ended with. */
function getRefusal(result: PromiseSettledResult<unknown>): resultCodes.RequestError {
  if (result.status === "fulfilled") throw new Error("a refusal was expected");
  earl.expect(result.reason).toBeA(resultCodes.RequestError);
  return result.reason as resultCodes.RequestError;
}

/** Fills both slots of the only decode runner and returns the reservations. */
async function reserveSlots(fixture: fixtures.Fixture) {
  const reservations = [await fixture.reserveGranted("a"), await fixture.reserveGranted("b")];
  for (const reservation of reservations) {
    await fixture.waitSettled(reservation.waitForPrefill(NEVER), 500);
    reservation.recordPrefillEnd(0);
    reservation.recordDecodeStart();
  }
  await fixture.clock.run(fixture.clock.now() + 50);
  return reservations;
}

test.describe("createCapacity", () => {
  test.it("grants a place at both runners and gives both back", async () => {
    await using fixture = await new fixtures.Fixture({}).start();
    const reservation = await fixture.reserveGranted("a");
    earl.expect(reservation.decode.name).toEqual("d0");
    earl.expect(reservation.prefill.name).toEqual("p0");
    earl.expect(fixture.capacities[0]?.listLeases().length).toEqual(2);
    await reservation[Symbol.asyncDispose]();
    await fixture.clock.run(fixture.clock.now() + 50);
    earl.expect(fixture.capacities[0]?.listLeases()).toEqual([]);
  });

  test.it("refuses at once, as not run, what no slot will take in time", async () => {
    await using fixture = await new fixtures.Fixture({}).start();
    await reserveSlots(fixture);
    const result = await fixture.reserve("c", { firstTokenBy: fixture.clock.now() + 300 });
    const refusal = getRefusal(result);
    earl.expect(refusal.code).toEqual(resultCodes.RESULT_CODES.overloaded);
    earl.expect(refusal.ran).toEqual(resultCodes.RAN.no);
    earl.expect((refusal.retryAfterMs ?? 0) > 0).toEqual(true);
    earl.expect(fixture.listDecodeLeases().map((lease) => lease.id)).toEqual(["a", "b"]);
  });

  test.it("lets a queued request start when a slot is freed, and not before", async () => {
    await using fixture = await new fixtures.Fixture({ policy: { leaseAhead: false } }).start();
    const [first] = await reserveSlots(fixture);
    const firstTokenBy = fixture.clock.now() + 10_000;
    const queued = await fixture.reserveGranted("c", { firstTokenBy });
    let started = false;
    const wait = queued.waitForPrefill(NEVER).then(() => {
      started = true;
    });
    await fixture.clock.run(fixture.clock.now() + 1000);
    earl.expect(started).toEqual(false);
    await first?.[Symbol.asyncDispose]();
    await fixture.waitSettled(wait, 500);
    earl.expect(started).toEqual(true);
  });

  test.it("gives up a queued request as soon as its first token would be late", async () => {
    await using fixture = await new fixtures.Fixture({ policy: { leaseAhead: false } }).start();
    await reserveSlots(fixture);
    const firstTokenBy = fixture.clock.now() + 5000;
    const queued = await fixture.reserveGranted("c", { firstTokenBy });
    const wait = queued.waitForPrefill(NEVER);
    const result = await fixture.waitSettled(wait, 5000);
    earl.expect(getRefusal(result).ran).toEqual(resultCodes.RAN.no);
    earl.expect(fixture.listDecodeLeases().map((lease) => lease.id)).toEqual(["a", "b"]);
  });

  test.it("never leases more slots than there are, from any number of nodes", async () => {
    await using fixture = await new fixtures.Fixture({ nodes: 4, decoders: 2 }).start();
    const results = [];
    for (let index = 0; index < 12; index += 1) {
      const changes = { firstTokenBy: fixture.clock.now() + 600 };
      results.push(await fixture.reserve(`r${index}`, changes, index % 4));
    }
    const granted = results.filter((result) => result.status === "fulfilled");
    earl.expect(granted.length).toEqual(4);
    earl.expect(fixture.listDecodeLeases().length).toEqual(4);
  });

  test.it("does not lease more pieces than a runner has", async () => {
    await using fixture = await new fixtures.Fixture({ pieces: 100 }).start();
    await fixture.reserveGranted("a", { promptTokens: 900 });
    const firstTokenBy = fixture.clock.now() + 500;
    const second = await fixture.reserve("b", { promptTokens: 900, firstTokenBy });
    if (second.status === "fulfilled") {
      const turn = await fixture.waitSettled(second.value.waitForPrefill(NEVER), 2000);
      earl.expect(turn.status).toEqual("rejected");
    }
    const tooLong = await fixture.reserve("c", { promptTokens: 100_000 });
    earl.expect(getRefusal(tooLong).code).toEqual(resultCodes.RESULT_CODES.promptTooLong);
  });

  test.it("lets a newer attempt take over and cancels the older at the engine", async () => {
    await using fixture = await new fixtures.Fixture({ nodes: 2 }).start();
    const older = await fixture.reserveGranted("a", {}, 0);
    const newer = await fixture.reserveGranted("a", { attempt: 2 }, 1);
    earl.expect(older.revoked.aborted).toEqual(true);
    earl.expect(newer.revoked.aborted).toEqual(false);
    earl.expect(fixture.engines.cancelled).toInclude("d0 a 1");
    earl.expect(fixture.listDecodeLeases().map(({ attempt }) => attempt)).toEqual([2]);
  });

  test.it("cancels the requests of a dead node after a grace", async () => {
    await using fixture = await new fixtures.Fixture({ nodes: 2 }).start();
    const allocator = fixture.capacities[0]?.findAllocator("d0");
    const holder = allocator === "vm0" ? 1 : 0;
    await fixture.reserveGranted("a", {}, holder);
    fixture.fleet.stopNode(`vm${holder}`, 100);
    await fixture.clock.run(fixture.clock.now() + 1000);
    earl.expect(fixture.engines.cancelled).toEqual([]);
    await fixture.clock.run(fixture.clock.now() + 1500);
    earl.expect(fixture.engines.cancelled).toInclude("d0 a 1");
  });

  test.it("hands the leases of a dead allocator over to the next", async () => {
    await using fixture = await new fixtures.Fixture({ nodes: 3 }).start();
    const allocator = Number(fixture.capacities[0]?.findAllocator("d0")?.slice(2));
    const holder = (allocator + 1) % 3;
    const reservation = await fixture.reserveGranted("a", {}, holder);
    fixture.fleet.stopNode(`vm${allocator}`, 100);
    await fixture.clock.run(fixture.clock.now() + 2500);
    const next = Number(fixture.capacities[holder]?.findAllocator("d0")?.slice(2));
    earl.expect(next).not.toEqual(allocator);
    const leases = fixture.capacities[next]?.listLeases() ?? [];
    earl.expect(leases.some((lease) => lease.id === "a" && lease.slots === 1)).toEqual(true);
    earl.expect(reservation.revoked.aborted).toEqual(false);
    earl.expect(fixture.engines.cancelled).toEqual([]);
  });

  test.it("cancels what the engine holds and no one claims", async () => {
    await using fixture = await new fixtures.Fixture({}).start();
    fixture.engines.held.set("d0", [{ id: "stray", attempt: 3 }]);
    await fixture.clock.run(fixture.clock.now() + 5000);
    earl.expect(fixture.engines.cancelled).toInclude("d0 stray 3");
  });

  test.it("counts what the engine holds for others against its slots", async () => {
    await using fixture = await new fixtures.Fixture({}).start();
    fixture.engines.held.set("d0", [
      { id: "x", attempt: 1 },
      { id: "y", attempt: 1 },
    ]);
    await fixture.clock.run(fixture.clock.now() + 1000);
    const result = await fixture.reserve("a", { firstTokenBy: fixture.clock.now() + 500 });
    earl.expect(result.status).toEqual("rejected");
  });

  test.it("leaves out a runner that does not answer, and takes it back", async () => {
    await using fixture = await new fixtures.Fixture({ decoders: 2 }).start();
    fixture.engines.down.add("d0");
    await fixture.clock.run(fixture.clock.now() + 3000);
    earl.expect((await fixture.reserveGranted("a")).decode.name).toEqual("d1");
    earl.expect((await fixture.reserveGranted("b")).decode.name).toEqual("d1");
    fixture.engines.down.delete("d0");
    await fixture.clock.run(fixture.clock.now() + 3000);
    earl.expect((await fixture.reserveGranted("c")).decode.name).toEqual("d0");
  });

  test.it("sends nothing to a runner that the request excludes", async () => {
    await using fixture = await new fixtures.Fixture({ decoders: 2 }).start();
    const reservation = await fixture.reserveGranted("a", { exclude: ["d0"] });
    earl.expect(reservation.decode.name).toEqual("d1");
  });
});
