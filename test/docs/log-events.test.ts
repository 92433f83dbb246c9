import * as test from "node:test";
import * as earl from "earl";
import * as events from "../../src/telemetry/log-events.js";
import * as repository from "./repository.js";

test.describe("docs/LOG-EVENTS.md", () => {
  const rows = repository.readTableRows("docs/LOG-EVENTS.md").slice(1);

  test.it("lists every event by number, name, level and message", () => {
    const listed = rows.map(([number, name, level, message]) => [number, name, level, message]);
    const expected = Object.entries(events.LOG_EVENTS)
      .sort(([, first], [, second]) => first.number - second.number)
      .map(([name, event]) => [String(event.number), `\`${name}\``, event.level, event.message]);
    earl.expect(listed).toEqual(expected);
  });

  test.it("explains each event in the fifth column, and lists no number twice", () => {
    earl.expect(rows.filter((row) => (row[4] ?? "").length < 4)).toEqual([]);
    earl.expect(new Set(rows.map((row) => row[0])).size).toEqual(rows.length);
  });
});
