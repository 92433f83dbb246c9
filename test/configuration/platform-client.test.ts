import * as test from "node:test";
import * as earl from "earl";
import * as clocks from "../../src/kernel/clock.js";
import * as container from "../../src/kernel/container.js";
import * as platformClient from "../../src/configuration/platform-client.js";
import type * as types from "../../src/configuration/types.js";
import type * as nodeSettings from "../../src/settings/node-settings.js";
import * as platformServer from "../../standins/platform-server.js";
import * as platformModel from "../../standins/platform.js";

const { signal } = new AbortController();
const VM: types.ListedVm = {
  vm: "vm-1",
  host: "127.0.0.1",
  callerPort: 1,
  peerPort: 2,
  region: "lagos",
  zone: "ikeja",
  state: "live",
};

interface Fixture extends AsyncDisposable {
  readonly platform: platformModel.Platform;
  readonly client: types.PlatformClient;
}

async function createFixture(): Promise<Fixture> {
  const platform = new platformModel.Platform(clocks.createSystemClock());
  const address = { host: "127.0.0.1", port: 0 };
  const server = await platformServer.startPlatformServer(platform, address);
  const kernel = container.createKernel();
  kernel.register("clock", () => clocks.createSystemClock());
  const platformUrl = `http://${server.host}:${server.port}`;
  kernel.register("settings", () => ({ platformUrl }) as nodeSettings.NodeSettings);
  kernel.register("platform", platformClient.createPlatformClient);
  return {
    platform,
    client: kernel.use("platform"),
    [Symbol.asyncDispose]: () => server[Symbol.asyncDispose](),
  };
}

test.describe("createPlatformClient", () => {
  test.it("reads the newest document and the VM list", async () => {
    await using fixture = await createFixture();
    fixture.platform.publish({ revision: 3, document: { format: 1 } });
    fixture.platform.setVms([VM]);
    const published = await fixture.client.readConfiguration(signal);
    earl.expect(published).toEqual({ revision: 3, document: { format: 1 } });
    earl.expect(await fixture.client.listVms(signal)).toEqual([VM]);
  });

  test.it("waits for a newer revision in a single call", async () => {
    await using fixture = await createFixture();
    fixture.platform.publish({ revision: 3, document: {} });
    const watch = fixture.client.watchConfiguration(3, 10_000, signal);
    fixture.platform.publish({ revision: 4, document: {} });
    earl.expect((await watch)?.revision).toEqual(4);
    earl.expect(await fixture.client.watchConfiguration(4, 10, signal)).toEqual(undefined);
    earl.expect(fixture.platform.getReport().total).toEqual(2);
  });

  test.it("rejects while the platform is down and returns a stale document unchanged", async () => {
    await using fixture = await createFixture();
    fixture.platform.publish({ revision: 3, document: {} });
    fixture.platform.publish({ revision: 4, document: {} });
    fixture.platform.setFaults({ outage: true });
    await earl.expect(fixture.client.readConfiguration(signal)).toBeRejectedWith("503");
    fixture.platform.setFaults({ staleRevision: 3 });
    earl.expect((await fixture.client.readConfiguration(signal)).revision).toEqual(3);
  });

  test.it("stops a watch when its signal aborts", async () => {
    await using fixture = await createFixture();
    fixture.platform.publish({ revision: 3, document: {} });
    const watch = fixture.client.watchConfiguration(3, 10_000, AbortSignal.timeout(50));
    await earl.expect(watch).toBeRejected();
  });
});
