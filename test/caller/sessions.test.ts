import * as test from "node:test";
import * as earl from "earl";
import * as codes from "../../src/protocol/result-codes.js";
import * as sessions from "../../src/caller/sessions.js";
import * as fakes from "../request/fake-fleet.js";

function getCode(action: () => unknown): number {
  try {
    action();
  } catch (error) {
    if (error instanceof codes.RequestError) return error.code.number;
  }
  return 0;
}

test.describe("createSessions", () => {
  test.it("names this node as owner and a backup in another zone", () => {
    const fleet = new fakes.FakeFleet();
    const node = fleet.add("a", "zone-a");
    fleet.add("b", "zone-a");
    fleet.add("c", "zone-c");
    const sealed = node.createSession();
    earl.expect(sealed).not.toInclude(".");
    const { session, sequence } = node.parse(`${sealed}.12`);
    earl.expect([session.owner.vm, session.backup?.vm, sequence]).toEqual(["a", "c", 12]);
  });

  test.it("rejects forged ids, malformed ids and ids of another caller", () => {
    const fleet = new fakes.FakeFleet();
    const service = fleet.add("a", "zone-a").kernel.use("sessions");
    const sealed = service.create("cranes");
    const forged = `${sealed.startsWith("A") ? "B" : "A"}${sealed.slice(1)}`;
    earl.expect(service.parse(`${sealed}.0`, "cranes").session.backup).toEqual(undefined);
    for (const id of [`${forged}.0`, sealed, `${sealed}.x`, `${sealed}.01`, "", "a.0"]) {
      earl.expect(getCode(() => service.parse(id, "cranes"))).toEqual(1007);
    }
    earl.expect(getCode(() => service.parse(`${sealed}.0`, "tractors"))).toEqual(1007);
  });

  test.it("rejects the ids of an expired session", async () => {
    const fleet = new fakes.FakeFleet();
    const node = fleet.add("a", "zone-a");
    const id = `${node.createSession()}.0`;
    await fleet.clock.advance(sessions.SESSION_LIFETIME_MS);
    earl.expect(getCode(() => node.parse(id))).toEqual(1008);
  });
});
