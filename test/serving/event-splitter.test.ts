import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as eventSplitter from "../../src/serving/event-splitter.js";

test.describe("EventSplitter", () => {
  test.it("returns complete events unchanged, however the bytes are split into chunks", () => {
    const text = fastCheck.default
      .string({ maxLength: 30 })
      .map((one) => one.replaceAll("\n", " "));
    const cuts = fastCheck.default.array(fastCheck.default.nat(200), { maxLength: 8 });
    const property = fastCheck.default.property(
      fastCheck.default.array(text, { minLength: 1, maxLength: 6 }),
      cuts,
      (texts, positions) => {
        const bytes = Buffer.from(texts.map((one, id) => `id: ${id}\ndata: ${one}\n\n`).join(""));
        const splitter = new eventSplitter.EventSplitter();
        const passed: Buffer[] = [];
        let lastId: string | undefined;
        let from = 0;
        for (const at of [...positions.sort((a, b) => a - b), bytes.byteLength]) {
          const events = splitter.push(bytes.subarray(from, at));
          from = Math.max(from, Math.min(at, bytes.byteLength));
          passed.push(Buffer.from(events.bytes));
          lastId = events.lastId ?? lastId;
        }
        return (
          Buffer.concat(passed).equals(bytes) &&
          splitter.rest.byteLength === 0 &&
          lastId === `${texts.length - 1}`
        );
      },
    );
    fastCheck.default.assert(property);
  });

  test.it("holds back an incomplete event", () => {
    const splitter = new eventSplitter.EventSplitter();
    const events = splitter.push(Buffer.from("id: 4\ndata: x\n\nid: 5\ndata: y\n"));
    earl.expect(events.bytes.toString()).toEqual("id: 4\ndata: x\n\n");
    earl.expect([events.count, events.lastId]).toEqual([1, "4"]);
  });

  // Guards against taking comments and blank lines for events of a stream.
  test.it("counts no comments, and holds those before the first event", () => {
    const splitter = new eventSplitter.EventSplitter();
    const before = splitter.push(Buffer.from(": busy\n\n\n\n"));
    earl.expect([before.count, before.bytes.byteLength]).toEqual([0, 0]);
    const first = splitter.push(Buffer.from("id: 4\ndata: x\n\nid: 5\ndata\n\n"));
    earl.expect([first.count, first.firstId, first.lastId]).toEqual([2, "4", "5"]);
    earl.expect(first.bytes.toString().startsWith(": busy")).toEqual(true);
    const after = splitter.push(Buffer.from(": idle\n\n"));
    earl.expect([after.count, after.bytes.toString()]).toEqual([0, ": idle\n\n"]);
  });
});
