import * as test from "node:test";
import * as earl from "earl";
import * as addressCache from "../../src/client/address-cache.js";
import * as attempts from "../../src/client/attempts.js";
import * as outcome from "../../src/client/outcome.js";
import * as random from "../../src/kernel/random.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as fakeNode from "./fake-node.js";

const SIGNAL = new AbortController().signal;
const OVERLOADED = new outcome.AttemptError(outcome.ATTEMPT_FAILURE.refused, "overloaded", {
  code: 2001,
  ran: "no",
  retryAfterMs: 700,
});

function createAttempts(
  clock: fakeClock.FakeClock,
  addresses: addressCache.AddressCache,
): attempts.Attempts {
  const limits = { maxAttempts: 3, deadlineMs: 10_000 };
  const retryPolicy = outcome.chooseIdempotentStep;
  return new attempts.Attempts(clock, random.createSeededRandom(1), addresses, limits, retryPolicy);
}

test.describe("Attempts", () => {
  test.it("waits for the retry delay of a refusal", async () => {
    const clock = fakeClock.createFakeClock();
    await using node = await fakeNode.createFakeNode([]);
    const addresses = new addressCache.AddressCache(clock, [node.address], "demo");
    const requestAttempts = createAttempts(clock, addresses);
    await requestAttempts.createNext(SIGNAL);
    let hasSettled = false;
    const wait = requestAttempts.waitAfterFailure(OVERLOADED, SIGNAL).then((failure) => {
      hasSettled = true;
      return failure;
    });
    await clock.advance(699);
    earl.expect(hasSettled).toEqual(false);
    await clock.advance(1);
    earl.expect(await wait).toEqual(undefined);
  });

  test.it("stops when the retry delay would exceed the deadline", async () => {
    const clock = fakeClock.createFakeClock();
    await using node = await fakeNode.createFakeNode([]);
    const addresses = new addressCache.AddressCache(clock, [node.address], "demo");
    const requestAttempts = createAttempts(clock, addresses);
    await requestAttempts.createNext(SIGNAL);
    const { code, ran } = OVERLOADED;
    const late = new outcome.AttemptError("refused", "late", { code, ran, retryAfterMs: 10_000 });
    const failure = await requestAttempts.waitAfterFailure(late, SIGNAL);
    earl.expect(failure?.retryAfterMs).toEqual(10_000);
    earl.expect(failure?.ran).toEqual("no");
  });

  test.it("stops after the maximum number of attempts", async () => {
    const clock = fakeClock.createFakeClock();
    await using node = await fakeNode.createFakeNode([]);
    const requestAttempts = createAttempts(
      clock,
      new addressCache.AddressCache(clock, [node.address], "demo"),
    );
    for (let count = 1; count <= 3; count += 1) {
      await requestAttempts.createNext(SIGNAL);
      const wait = requestAttempts.waitAfterFailure(OVERLOADED, SIGNAL);
      await clock.advance(700);
      earl.expect((await wait)?.attempts).toEqual(count === 3 ? 3 : undefined);
    }
  });
});

test.describe("AddressCache", () => {
  test.it("caches a response for its time to live and then looks up again", async () => {
    const clock = fakeClock.createFakeClock();
    await using node = await fakeNode.createFakeNode([]);
    const addresses = new addressCache.AddressCache(clock, [node.address], "demo");
    const ids = [await addresses.createRequestId(SIGNAL), await addresses.createRequestId(SIGNAL)];
    await clock.advance(30_000);
    ids.push(await addresses.createRequestId(SIGNAL));
    earl.expect(ids).toEqual(["session1.1", "session1.2", "session2.3"]);
  });

  test.it(
    "looks up at the nodes of the last response when the configured one is down",
    async () => {
      const clock = fakeClock.createFakeClock();
      await using node = await fakeNode.createFakeNode([]);
      const first = await fakeNode.createFakeNode([]);
      first.advertised.push(first.address, node.address);
      const addresses = new addressCache.AddressCache(clock, [first.address], "demo");
      await addresses.createRequestId(SIGNAL);
      await first[Symbol.asyncDispose]();
      addresses.expire();
      earl.expect(await addresses.listAddresses(SIGNAL)).toEqual([node.address]);
    },
  );
});
