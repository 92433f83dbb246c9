import * as test from "node:test";
import * as earl from "earl";
import * as storeClient from "../../platform/store-client.js";
import * as clocks from "../../src/kernel/clock.js";
import * as store from "../../standins/users-platform/store.js";

const LONG_POLL_MS = 2_000;
const SHORT_MS = 500;

const PAGE_ITEMS = 500;

function createSource(platform: store.StoreStandIn): storeClient.StoreSource<string> {
  const [host = "", port] = platform.address.split(":");
  const address = { host, port: Number(port) };
  return new storeClient.StoreSource(clocks.createSystemClock(), address, "servers/", (key) => key);
}

test.describe("StoreSource", () => {
  for (const [header, epoch] of [
    ["7", 7],
    [undefined, 0],
    ["soon", 0],
    ["-1", 0],
  ] as const)
    test.it(`reads the era ${header ?? "of an answer without one"} as epoch ${epoch}`, async () => {
      await using platform = new store.StoreStandIn();
      await platform.start();
      platform.setEra(header);
      platform.set("servers/a", { id: "a" });
      const source = createSource(platform);
      const snapshot = await source.readAll(AbortSignal.timeout(SHORT_MS));
      const changes = await source.watch(1, 1, AbortSignal.timeout(SHORT_MS));
      earl.expect([snapshot.epoch, changes?.epoch]).toEqual([epoch, epoch]);
    });

  // From the line of an item that was refused nobody could tell why.
  test.it("keeps the first faults of an item, cut to a length for the log", async () => {
    await using platform = new store.StoreStandIn();
    await platform.start();
    platform.set("servers/a", { id: "a" });
    const [host = "", port] = platform.address.split(":");
    const source = new storeClient.StoreSource(
      clocks.createSystemClock(),
      { host, port: Number(port) },
      "servers/",
      (_key, _bytes, report) => {
        for (let number = 0; number < 30; number += 1) report("x".repeat(10_000));
        return undefined;
      },
    );
    const snapshot = await source.readAll(AbortSignal.timeout(SHORT_MS));
    const faults = snapshot.items[0]?.faults ?? [];
    earl.expect([faults.length, faults.at(-1)]).toEqual([9, "and 22 more"]);
    earl.expect(faults.join("").length < 2_100).toEqual(true);
  });

  // Items of both states would stand side by side.
  for (const [era, message] of [
    ["1", "from era 1 to 2"],
    [undefined, "from revision 503 to 502"],
  ] as const)
    test.it(
      `fails to read pages of before and after a return, with era ${era ?? "none"}`,
      async () => {
        await using platform = new store.StoreStandIn();
        await platform.start();
        platform.setEra(era);
        for (let number = 0; number <= PAGE_ITEMS; number += 1)
          platform.set(`servers/${String(number).padStart(4, "0")}`, { id: number });
        const copy = platform.copy();
        platform.set("lost", {});
        const [host = "", port] = platform.address.split(":");
        let parsed = 0;
        const source = new storeClient.StoreSource(
          clocks.createSystemClock(),
          { host, port: Number(port) },
          "servers/",
          (key) => {
            parsed += 1;
            if (parsed === 1) platform.restore(copy);
            return key;
          },
        );
        // On the connection that the return closed, the second page would fail anyway.
        const read = source.readAll(AbortSignal.timeout(SHORT_MS), true).then(() => "read", String);
        earl.expect(await read).toEqual(`Error: store went ${message} between two pages`);
      },
    );

  // A second call waited for the end of the long poll, and ended it when its own time was over.
  test.it("answers a call while a long poll waits, and does not break the long poll", async () => {
    await using platform = new store.StoreStandIn();
    await platform.start();
    platform.set("servers/a", { id: "a" });
    const source = createSource(platform);
    const { revision } = await source.readAll(AbortSignal.timeout(SHORT_MS));
    const polled = source.watch(revision, LONG_POLL_MS, AbortSignal.timeout(2 * LONG_POLL_MS));
    const result = polled.then(
      ({ changes } = { revision, changes: [] }) => changes.length,
      (error: unknown) => String(error),
    );
    const short = await source
      .watch(revision, 1, AbortSignal.timeout(SHORT_MS))
      .then((changes) => changes?.changes.length, String);
    earl.expect(short).toEqual(0);
    platform.set("servers/b", { id: "b" });
    earl.expect(await result).toEqual(1);
  });
});
