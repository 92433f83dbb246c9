import * as stream from "node:stream";
import * as test from "node:test";
import * as earl from "earl";
import * as boundedOutput from "../../src/telemetry/bounded-output.js";

const LINE = `${"x".repeat(999)}\n`;

test.describe("BoundedOutput", () => {
  test.it("leaves lines out while its reader is stuck, and says how many afterwards", () => {
    const taken: string[] = [];
    let resume: (() => void) | undefined;
    const target = new stream.Writable({
      decodeStrings: false,
      write: (line: Buffer, _encoding, done) => {
        taken.push(line.toString());
        if (resume === undefined) resume = done;
        else done();
      },
    });
    const output = new boundedOutput.BoundedOutput(target, (count) => `${count} left out\n`);
    for (let lines = 0; lines < 3_000; lines += 1) output.write(LINE);
    earl.expect(target.writableLength < 1_200_000).toEqual(true);
    resume?.();
    output.write("last\n");
    earl.expect(taken.at(-1)).toEqual("last\n");
    const leftOut = Number((taken.at(-2) ?? "").split(" ")[0]);
    earl.expect(leftOut).toEqual(3_000 - (taken.length - 2));
  });
});
