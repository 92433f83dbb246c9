import * as test from "node:test";
import * as earl from "earl";
import * as transfers from "../../src/capacity/transfer-times.js";

test.describe("TransferTimes", () => {
  test.it("learns the slowdown of a link separately for each pair of zones", () => {
    const times = new transfers.TransferTimes();
    for (let sample = 0; sample < 100; sample += 1) times.record("a", "b", 20, 200);
    earl.expect(times.computeTransferMs("a", "b", 20) > 150).toEqual(true);
    earl.expect(times.computeTransferMs("b", "a", 20)).toEqual(20);
  });

  // A handover includes the wait for a decode slot; counted as transfer time, it would make every
  // link look slow under load.
  test.it("counts waits for a slot as handover time and not as transfer time", () => {
    const times = new transfers.TransferTimes();
    for (let sample = 0; sample < 100; sample += 1) {
      times.record("a", "b", 20, sample % 2 === 0 ? 20 : 400);
    }
    earl.expect(times.computeTransferMs("a", "b", 20) < 40).toEqual(true);
    earl.expect(times.computeHandoverMs("a", "b", 20) > 100).toEqual(true);
  });
});
