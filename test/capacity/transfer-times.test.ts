import * as test from "node:test";
import * as earl from "earl";
import * as transfers from "../../src/capacity/transfer-times.js";

test.describe("TransferTimes", () => {
  test.it("learns that a link is slow, for that pair of zones alone", () => {
    const times = new transfers.TransferTimes();
    for (let sample = 0; sample < 100; sample += 1) times.record("a", "b", 20, 200);
    earl.expect(times.computeLink("a", "b", 20) > 150).toEqual(true);
    earl.expect(times.computeLink("b", "a", 20)).toEqual(20);
  });

  test.it("does not take waits for a slot for a slow link", () => {
    const times = new transfers.TransferTimes();
    for (let sample = 0; sample < 100; sample += 1) {
      times.record("a", "b", 20, sample % 2 === 0 ? 20 : 400);
    }
    earl.expect(times.computeLink("a", "b", 20) < 40).toEqual(true);
    earl.expect(times.compute("a", "b", 20) > 100).toEqual(true);
  });
});
