import * as test from "node:test";
import * as earl from "earl";
import * as rendezvous from "../../src/membership/rendezvous.js";

const VMS = Array.from({ length: 12 }, (_, index) => `vm-${index}`);

test.describe("chooseByRendezvous", () => {
  test.it("does not depend on the order of the candidates", () => {
    const chosen = rendezvous.chooseByRendezvous("key", VMS, 2);
    earl.expect(rendezvous.chooseByRendezvous("key", [...VMS].reverse(), 2)).toEqual(chosen);
  });

  test.it("replaces only the candidate that leaves", () => {
    const [first, second] = rendezvous.chooseByRendezvous("key", VMS, 2);
    const left = VMS.filter((vm) => vm !== first);
    earl.expect(rendezvous.chooseByRendezvous("key", left, 2)[0]).toEqual(second);
  });
});
