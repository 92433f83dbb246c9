import * as test from "node:test";
import * as earl from "earl";
import * as settingsFile from "../../platform/settings-file.js";
import * as liveSettings from "../../src/gateway/live-settings.js";
import * as seedList from "../../src/gateway/seed-list.js";
import type * as types from "../../src/gateway/types.js";
import type * as logEvents from "../../src/telemetry/log-events.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as examples from "../../standins/users-platform/examples.js";

const IP = "10.0.0.7";

/** Creates live settings that read from a text which the test can change. */
function createFixture() {
  const file = { text: examples.createSettingsText(IP, { seeds: ["10.0.0.8:8146"] }) };
  const clock = fakeClock.createFakeClock();
  const lines: { readonly number: number; readonly fields: Record<string, unknown> }[] = [];
  const log = {
    write: (event: logEvents.LogEvent, fields: Record<string, unknown> = {}) => {
      lines.push({ number: event.number, fields });
    },
  };
  const read = (): types.GatewaySettings => settingsFile.parseSettings(file.text);
  const live = new liveSettings.LiveSettings({ clock, log, initial: read(), read });
  return { file, clock, lines, live };
}

test.describe("LiveSettings", () => {
  test.it("applies file changes without a signal, which the seed list then returns", async () => {
    const { file, clock, lines, live } = createFixture();
    await using _live = live;
    void live.run();
    const seeds = seedList.createSeedListClient(live);
    const { signal } = new AbortController();
    earl.expect((await seeds.listVms(signal)).map((vm) => vm.host)).toEqual(["10.0.0.8"]);
    file.text = examples.createSettingsText(IP, { seeds: ["10.0.0.9:8146"] });
    await clock.advance(2_500);
    earl.expect((await seeds.listVms(signal)).map((vm) => vm.host)).toEqual(["10.0.0.9"]);
    earl
      .expect(lines)
      .toEqual([
        { number: 3010, fields: { cause: "period", applied: ["seeds"], needsRestart: [] } },
      ]);
  });

  test.it(
    "keeps identity and listen addresses, and reports that their changes need a restart",
    () => {
      const { file, lines, live } = createFixture();
      file.text = examples.createSettingsText("10.0.0.99");
      live.update("signal");
      earl.expect(live.current.host).toEqual(IP);
      earl.expect(live.current.seeds).toEqual([]);
      const { needsRestart } = lines[0]?.fields ?? {};
      earl
        .expect(needsRestart)
        .toEqual(["host", "callerAddress", "readyAddress", "peerAddress", "lookupAddress"]);
    },
  );

  test.it("keeps the last valid settings and logs the same error only once", async () => {
    const { file, clock, lines, live } = createFixture();
    await using _live = live;
    void live.run();
    file.text = "node: x\n";
    await clock.advance(6_500);
    earl.expect(live.current.vm).toEqual("front-1");
    earl.expect(lines.map((line) => line.number)).toEqual([3011]);
  });
});
