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
  book: addressCache.AddressCache,
): attempts.Attempts {
  const limits = { maxAttempts: 3, deadlineMs: 10_000 };
  const chooser = outcome.chooseIdempotentStep;
  return new attempts.Attempts(clock, random.createSeededRandom(1), book, limits, chooser);
}

test.describe("Attempts", () => {
  test.it("waits as long as a refusal says", async () => {
    const clock = fakeClock.createFakeClock();
    await using node = await fakeNode.createFakeNode([]);
    const book = new addressCache.AddressCache(clock, [node.address], "demo");
    const run = createAttempts(clock, book);
    await run.createNext(SIGNAL);
    let isOver = false;
    const waiting = run.waitAfterFailure(OVERLOADED, SIGNAL).then((failure) => {
      isOver = true;
      return failure;
    });
    await clock.advance(699);
    earl.expect(isOver).toEqual(false);
    await clock.advance(1);
    earl.expect(await waiting).toEqual(undefined);
  });

  test.it("ends when the refusal's wait exceeds the deadline", async () => {
    const clock = fakeClock.createFakeClock();
    await using node = await fakeNode.createFakeNode([]);
    const book = new addressCache.AddressCache(clock, [node.address], "demo");
    const run = createAttempts(clock, book);
    await run.createNext(SIGNAL);
    const { code, ran } = OVERLOADED;
    const late = new outcome.AttemptError("refused", "late", { code, ran, retryAfterMs: 10_000 });
    const failure = await run.waitAfterFailure(late, SIGNAL);
    earl.expect(failure?.retryAfterMs).toEqual(10_000);
    earl.expect(failure?.ran).toEqual("no");
  });

  test.it("ends after the largest number of attempts", async () => {
    const clock = fakeClock.createFakeClock();
    await using node = await fakeNode.createFakeNode([]);
    const run = createAttempts(clock, new addressCache.AddressCache(clock, [node.address], "demo"));
    for (let count = 1; count <= 3; count += 1) {
      await run.createNext(SIGNAL);
      const waiting = run.waitAfterFailure(OVERLOADED, SIGNAL);
      await clock.advance(700);
      earl.expect((await waiting)?.attempts).toEqual(count === 3 ? 3 : undefined);
    }
  });
});

test.describe("AddressCache", () => {
  test.it("keeps an answer for its time to live and then asks again", async () => {
    const clock = fakeClock.createFakeClock();
    await using node = await fakeNode.createFakeNode([]);
    const book = new addressCache.AddressCache(clock, [node.address], "demo");
    const ids = [await book.createRequestId(SIGNAL), await book.createRequestId(SIGNAL)];
    await clock.advance(30_000);
    ids.push(await book.createRequestId(SIGNAL));
    earl.expect(ids).toEqual(["session1.1", "session1.2", "session2.3"]);
  });

  test.it("asks another node when one does not answer, and the ones it was told of", async () => {
    const clock = fakeClock.createFakeClock();
    await using node = await fakeNode.createFakeNode([]);
    const first = await fakeNode.createFakeNode([]);
    first.advertised.push(first.address, node.address);
    const book = new addressCache.AddressCache(clock, [first.address], "demo");
    await book.createRequestId(SIGNAL);
    await first[Symbol.asyncDispose]();
    book.removeAnswer();
    earl.expect(await book.listAddresses(SIGNAL)).toEqual([node.address]);
  });
});
