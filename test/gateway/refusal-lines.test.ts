/** From the line of a refusal nobody could tell a route that does not exist from a VM with an older configuration. */
import * as test from "node:test";
import * as earl from "earl";
import * as logEvents from "../../src/telemetry/log-events.js";
import * as fixture from "./gateway-fixture.js";

const NET = 151;
/** Time in which the platform answers a gateway at least once. */
const ANSWERED_MS = 10_000;

test.describe("the log line of a refusal", () => {
  test.it("names the host, the path, and what configuration decided it, of what age", async () => {
    await using testPlatform = await fixture.startPlatform({});
    const lines: Readonly<Record<string, unknown>>[] = [];
    const write = (event: logEvents.LogEvent, fields = {}): void => {
      if (event === logEvents.LOG_EVENTS.requestRefused) lines.push(fields);
    };
    await using gateway = await fixture.startGateway(testPlatform.platform, NET, 11, {
      seeds: [11],
      configure: (kernel) => {
        kernel.register("log", () => ({ write }));
      },
    });
    await fixture.waitForReady(gateway.ip);
    earl.expect((await fixture.send(gateway.ip, "/absent/x?secret=1")).status).toEqual(404);
    const [line] = lines;
    earl.expect(line).toEqual(
      earl.expect.subset({
        request: "r1",
        host: "api.example",
        path: "/absent/x",
        code: 1004,
        configurationVersion: 7,
        configurationRevision: 2,
        configurationEpoch: 1,
      }),
    );
    earl.expect(Number(line?.knownRevision) >= 2).toEqual(true);
    earl.expect(Number(line?.answeredMs) < ANSWERED_MS).toEqual(true);
  });
});
