import * as test from "node:test";
import * as earl from "earl";
import * as events from "../../src/telemetry/log-events.js";
import * as log from "../../src/telemetry/log.js";
import * as settings from "./settings.js";

const { LOG_EVENTS } = events;

/** Returns what `write` puts on standard output. */
function readOutput(write: () => void): string {
  let output = "";
  const mock = test.mock.method(process.stdout, "write", (text: string) => {
    output += text;
    return true;
  });
  try {
    write();
  } finally {
    mock.mock.restore();
  }
  return output;
}

test.describe("createEventLog", () => {
  test.it("writes an event as JSON with its number and fields, without secrets", async () => {
    await using kernel = settings.createSettingsKernel({ logFormat: "json", logLevel: "info" });
    const created = log.createEventLog(kernel);
    const output = readOutput(() => {
      created.write(LOG_EVENTS.memberChanged, { member: "vm-2", session: "sealed" });
    });
    const entry = JSON.parse(output) as Record<string, unknown>;
    earl.expect([entry.event, entry.level, entry.node]).toEqual([2001, "info", "vm-1"]);
    earl.expect([entry.member, entry.session]).toEqual(["vm-2", "[redacted]"]);
  });

  test.it("writes a readable line", async () => {
    await using kernel = settings.createSettingsKernel({ logFormat: "readable", logLevel: "info" });
    const created = log.createEventLog(kernel);
    const output = readOutput(() => {
      created.write(LOG_EVENTS.memberChanged, { member: "vm-2" });
    });
    earl.expect(output).toMatchRegex(/ info 2001 vm-1 member changed state member="vm-2"/);
  });

  test.it("leaves out what is below its level", async () => {
    await using kernel = settings.createSettingsKernel({ logFormat: "json", logLevel: "warn" });
    const created = log.createEventLog(kernel);
    const output = readOutput(() => {
      created.write(LOG_EVENTS.memberChanged, { member: "vm-2" });
    });
    earl.expect(output).toEqual("");
  });
});
