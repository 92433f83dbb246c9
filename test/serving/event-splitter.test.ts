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
          splitter.heldBytes === 0 &&
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

  // Such streams went on as if they were alive, and each byte was scanned again with each chunk.
  for (const bytes of ["\n", ": busy\n\n", "data: x"])
    test.it(`gives up a stream without an event, of ${JSON.stringify(bytes)}`, () => {
      const splitter = new eventSplitter.EventSplitter();
      const pushAll = (): void => {
        for (let number = 0; number < 2_000; number += 1)
          splitter.push(Buffer.from(bytes.repeat(1_000)));
      };
      earl.expect(pushAll).toThrow();
    });

  test.it("holds a stream whose comments stay between events", () => {
    const splitter = new eventSplitter.EventSplitter();
    for (let number = 0; number < 100; number += 1) {
      splitter.push(Buffer.from(": busy\n\n".repeat(1_000)));
      earl.expect(splitter.push(Buffer.from(`id: ${number}\n`)).count).toEqual(0);
      earl.expect(splitter.push(Buffer.from("\n")).count).toEqual(1);
    }
  });
});
