import * as test from "node:test";
import * as earl from "earl";
import * as fakes from "./fake-fleet.js";

function createCrashes() {
  const fleet = new fakes.FakeFleet();
  const first = fleet.add("a", "zone-a");
  const second = fleet.add("b", "zone-b");
  const crashes = first.kernel.use("crashes");
  const fingerprint = (body: string): string => crashes.computeFingerprint("c", "s", body);
  return { fleet, first, second, crashes, fingerprint };
}

test.describe("createCrashRecords", () => {
  test.it("quarantines a request after crashes of two different upstreams", () => {
    const { crashes, fingerprint } = createCrashes();
    const crashingRequest = fingerprint("poison");
    crashes.recordCrash("u1", [crashingRequest]);
    crashes.recordCrash("u1", [crashingRequest]);
    earl.expect(crashes.isQuarantined(crashingRequest)).toEqual(false);
    crashes.recordCrash("u2", [crashingRequest]);
    earl.expect(crashes.isQuarantined(crashingRequest)).toEqual(true);
    earl.expect(crashes.listQuarantined()).toEqual([crashingRequest]);
  });

  test.it("quarantines only the request that was in flight at every crash", () => {
    const { crashes, fingerprint } = createCrashes();
    const crashingRequest = fingerprint("poison");
    const others = Array.from({ length: 40 }, (_, index) => fingerprint(`innocent ${index}`));
    crashes.recordCrash("u1", [crashingRequest, ...others.slice(0, 19)]);
    crashes.recordCrash("u2", [crashingRequest, ...others.slice(16, 35)]);
    crashes.recordCrash("u3", [crashingRequest, ...others.slice(0, 3), ...others.slice(35)]);
    earl.expect(crashes.listQuarantined()).toEqual([crashingRequest]);
  });

  test.it("quarantines the only suspect that has not progressed since the first crash", () => {
    const { crashes, fingerprint } = createCrashes();
    const crashingRequest = fingerprint("poison");
    const others = Array.from({ length: 6 }, (_, index) => fingerprint(`innocent ${index}`));
    crashes.recordCrash("u1", [crashingRequest, ...others]);
    earl.expect(crashes.isSuspect(crashingRequest)).toEqual(true);
    for (const harmless of others) crashes.recordProgress(harmless);
    crashes.recordCrash("u2", [crashingRequest, ...others, fingerprint("newcomer")]);
    earl.expect(crashes.listQuarantined()).toEqual([crashingRequest]);
  });

  test.it("clears a request that succeeded, and ignores gossip about its earlier crashes", () => {
    const { crashes, fingerprint, first, second } = createCrashes();
    const harmless = fingerprint("bystander");
    crashes.recordCrash("u1", [harmless]);
    const stalePayload = first.gossip.get("crashes")?.create();
    const other = second.kernel.use("crashes");
    second.gossip.get("crashes")?.onReceive(stalePayload, { vm: "a", incarnation: 1 });
    other.recordSuccess(harmless);
    second.gossip.get("crashes")?.onReceive(stalePayload, { vm: "a", incarnation: 1 });
    other.recordCrash("u2", [harmless]);
    earl.expect(other.isQuarantined(harmless)).toEqual(false);
  });

  // Guards against refusing a harmless request that many callers send, because it was in flight at every crash.
  test.it("does not quarantine or suspect a request that completed lately", async () => {
    const { fleet, crashes, fingerprint, first, second } = createCrashes();
    const popular = fingerprint("popular");
    const crashingRequest = fingerprint("poison");
    crashes.recordSuccess(popular);
    const other = second.kernel.use("crashes");
    for (const name of ["u1", "u2", "u3"]) {
      crashes.recordCrash(name, [popular]);
      crashes.recordCrash(name, [popular, crashingRequest]);
      other.recordCrash(name, [popular]);
    }
    const payload = second.gossip.get("crashes")?.create();
    first.gossip.get("crashes")?.onReceive(payload, { vm: "b", incarnation: 1 });
    earl.expect(crashes.listQuarantined()).toEqual([crashingRequest]);
    earl.expect(crashes.isSuspect(popular)).toEqual(false);
    await fleet.clock.advance(600_000);
    for (const name of ["u4", "u5"]) crashes.recordCrash(name, [popular]);
    earl.expect(crashes.isQuarantined(popular)).toEqual(true);
  });

  // Guards against refusing harmless requests that were in flight at the crashes of a quarantined one.
  test.it("attributes a crash to the quarantined request that was in flight", () => {
    const { crashes, fingerprint } = createCrashes();
    const crashingRequest = fingerprint("poison");
    const harmless = fingerprint("bystander");
    crashes.recordCrash("u1", [crashingRequest, harmless, fingerprint("other")]);
    crashes.recordCrash("u2", [crashingRequest]);
    crashes.recordCrash("u2", [harmless]);
    crashes.recordCrash("u3", [harmless, crashingRequest]);
    earl.expect(crashes.listQuarantined()).toEqual([crashingRequest]);
    earl.expect(crashes.isSuspect(harmless)).toEqual(false);
  });

  test.it("adds up crashes reported by different nodes", () => {
    const { crashes, fingerprint, first, second } = createCrashes();
    const crashingRequest = fingerprint("poison");
    const other = second.kernel.use("crashes");
    crashes.recordCrash("u1", [crashingRequest]);
    other.recordCrash("u2", [crashingRequest]);
    const payload = second.gossip.get("crashes")?.create();
    first.gossip.get("crashes")?.onReceive(payload, { vm: "b", incarnation: 1 });
    earl.expect(crashes.isQuarantined(crashingRequest)).toEqual(true);
  });

  test.it("lifts the quarantine after ten minutes", async () => {
    const { fleet, crashes, fingerprint } = createCrashes();
    const crashingRequest = fingerprint("poison");
    crashes.recordCrash("u1", [crashingRequest]);
    crashes.recordCrash("u2", [crashingRequest]);
    await fleet.clock.advance(600_000);
    earl.expect(crashes.isQuarantined(crashingRequest)).toEqual(false);
  });
});
