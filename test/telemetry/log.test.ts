import * as stream from "node:stream";
import * as test from "node:test";
import * as earl from "earl";
import type * as kernels from "../../src/kernel/container.js";
import * as events from "../../src/telemetry/log-events.js";
import * as log from "../../src/telemetry/log.js";
import type * as types from "../../src/telemetry/types.js";
import * as settings from "./settings-kernel.js";

const { LOG_EVENTS } = events;

/** Stream that captures what is written to it. */
class CapturedOutput extends stream.Writable {
  text = "";

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.text += chunk.toString();
    done();
  }
}

/** Returns the log output of `write`. */
function captureOutput(kernel: kernels.Kernel, write: (eventLog: types.EventLog) => void): string {
  const output = new CapturedOutput();
  write(log.createEventLog(kernel, output));
  return output.text;
}

test.describe("createEventLog", () => {
  test.it("writes an event as JSON with its number and fields, without secrets", async () => {
    await using kernel = settings.createSettingsKernel({ logFormat: "json", logLevel: "info" });
    const output = captureOutput(kernel, (eventLog) => {
      eventLog.write(LOG_EVENTS.memberChanged, { member: "vm-2", session: "sealed" });
    });
    const entry = JSON.parse(output) as Record<string, unknown>;
    earl.expect([entry.event, entry.level, entry.node]).toEqual([2001, "info", "vm-1"]);
    earl.expect([entry.member, entry.session]).toEqual(["vm-2", "[redacted]"]);
  });

  test.it("writes an event as a readable line", async () => {
    await using kernel = settings.createSettingsKernel({ logFormat: "readable", logLevel: "info" });
    const output = captureOutput(kernel, (eventLog) => {
      eventLog.write(LOG_EVENTS.memberChanged, { member: "vm-2" });
    });
    earl.expect(output).toMatchRegex(/ info 2001 vm-1 member changed state member="vm-2"/);
  });

  test.it("omits events below its level", async () => {
    await using kernel = settings.createSettingsKernel({ logFormat: "json", logLevel: "warn" });
    const output = captureOutput(kernel, (eventLog) => {
      eventLog.write(LOG_EVENTS.memberChanged, { member: "vm-2" });
    });
    earl.expect(output).toEqual("");
  });
});
