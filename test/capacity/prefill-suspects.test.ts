import * as test from "node:test";
import * as earl from "earl";
import * as virtualClock from "../../bench/virtual-clock.js";
import type * as catalogs from "../../src/capacity/catalog.js";
import * as occupancies from "../../src/capacity/occupancy.js";
import * as ledgers from "../../src/capacity/prefill-ledger.js";

const HOLDER = { vm: "vm0", incarnation: 1 };
const RUNNER: catalogs.CatalogRunner = {
  name: "p0",
  zone: "zone",
  region: "region",
  host: "127.0.0.1",
  port: 1,
  role: "prefill",
  slots: 4,
  pieces: 100,
  prefillTokensPerSecond: 1000,
  stepMs: 10,
  model: "m",
  tokensPerPiece: 16,
  kvBytesPerToken: 1,
};

function createRequest(id: string, isSuspect: boolean) {
  return { runner: "p0", id, attempt: 1, isSuspect, tokens: 10, prefixes: [], endWithinMs: 10_000 };
}

test.describe("PrefillLedger with suspects", () => {
  test.it("starts one suspect at a time and lets others pass", () => {
    const clock = new virtualClock.VirtualClock();
    const ledger = new ledgers.PrefillLedger(RUNNER, clock, new occupancies.Occupancy(clock, 500));
    for (const id of ["s1", "s2"]) ledger.grant(createRequest(id, true), 10, HOLDER);
    ledger.grant(createRequest("other", false), 10, HOLDER);
    const listSent = () =>
      ledger
        .listLeases()
        .filter((lease) => lease.sentAt !== undefined)
        .map((lease) => lease.id);
    earl.expect(listSent()).toEqual(["s1", "other"]);
    ledger.recordEnd("s1", 1);
    earl.expect(listSent()).toEqual(["s2", "other"]);
  });
});
