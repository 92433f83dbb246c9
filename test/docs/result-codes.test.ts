import * as test from "node:test";
import * as earl from "earl";
import * as codes from "../../src/protocol/result-codes.js";
import * as repository from "./repository.js";

test.describe("docs/RESULT-CODES.md", () => {
  const rows = repository.readTableRows("docs/RESULT-CODES.md").slice(1);

  test.it("lists every code by number, name, status and message", () => {
    const listed = rows.map(([number, name, status, message]) => [number, name, status, message]);
    const expected = Object.entries(codes.RESULT_CODES)
      .sort(([, first], [, second]) => first.number - second.number)
      .map(([name, code]) => [
        String(code.number),
        `\`${name}\``,
        String(code.status),
        code.message,
      ]);
    earl.expect(listed).toEqual(expected);
  });

  test.it("explains each code in the fifth column, and lists no number twice", () => {
    earl.expect(rows.filter((row) => (row[4] ?? "").length < 4)).toEqual([]);
    earl.expect(new Set(rows.map((row) => row[0])).size).toEqual(rows.length);
  });
});
