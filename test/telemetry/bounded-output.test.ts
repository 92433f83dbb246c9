import * as stream from "node:stream";
import * as test from "node:test";
import * as earl from "earl";
import * as boundedOutput from "../../src/telemetry/bounded-output.js";

const LINE = `${"x".repeat(999)}\n`;

test.describe("BoundedOutput", () => {
  // Guards against unbounded memory and a blocked process when the reader of the log stalls.
  test.it("drops lines while its reader is stalled and reports their number afterwards", () => {
    const written: string[] = [];
    let resume: (() => void) | undefined;
    const target = new stream.Writable({
      decodeStrings: false,
      write: (line: Buffer, _encoding, done) => {
        written.push(line.toString());
        if (resume === undefined) resume = done;
        else done();
      },
    });
    const output = new boundedOutput.BoundedOutput(target, (count) => `${count} left out\n`);
    for (let lines = 0; lines < 3_000; lines += 1) output.write(LINE);
    earl.expect(target.writableLength < 1_200_000).toEqual(true);
    resume?.();
    output.write("last\n");
    earl.expect(written.at(-1)).toEqual("last\n");
    const suppressedCount = Number((written.at(-2) ?? "").split(" ")[0]);
    earl.expect(suppressedCount).toEqual(3_000 - (written.length - 2));
  });
});
