import * as test from "node:test";
import * as earl from "earl";
import * as raw from "../runners/raw-runner.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as store from "../../standins/users-platform/store.js";
import * as fixture from "./gateway-fixture.js";

const COMPLETE_STREAM = [0, 1, 2, 3, 4].map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join("");

function listPlainEntry(platform: store.StoreStandIn, id: string, runner: raw.RawRunner): void {
  const { host, port } = runner.runner;
  platform.set(`servers/${id}`, examples.createRunnerEntry(`${host}:${port}`));
}

test.describe("a gateway", () => {
  test.it(
    "serves streams and plain calls, lists its address on lookup, refuses unknown routes with 404",
    async () => {
      await using testPlatform = await fixture.startPlatform({});
      await using plain = await raw.startRawRunner("p", (socket) => {
        socket.write(raw.formatResponse("r1", "booked"));
      });
      listPlainEntry(testPlatform.platform, "p", plain);
      await using gateway = await fixture.startGateway(testPlatform.platform, 81, 1);
      await fixture.waitForReady(gateway.ip);
      const stream = await fixture.send(gateway.ip, "/notes/x", fixture.PROMPT);
      earl.expect([stream.status, stream.body]).toEqual([200, COMPLETE_STREAM]);
      earl
        .expect(stream.headers["response-stamp"])
        .toEqual(`stamp-${testPlatform.decode[0]?.address ?? ""}`);
      const booked = await fixture.send(gateway.ip, "/book/x");
      earl.expect([booked.status, booked.body]).toEqual([200, "booked"]);
      const lookup = await fixture.read(
        gateway.ip,
        examples.PORTS.directory,
        "/-/resolve?name=a&zone=a",
      );
      earl.expect(JSON.parse(lookup.body)).toEqual({
        addresses: [`${gateway.ip}:${examples.PORTS.front}`],
        ttl_s: 1,
      });
      earl.expect((await fixture.send(gateway.ip, "/none/x")).status).toEqual(404);
      const withContentLength = await fixture.send(gateway.ip, `/book/x`, {
        "content-length": "4",
      });
      earl.expect(withContentLength.status).toEqual(200);
    },
  );

  test.it("refuses a request head above the configured limit and serves one below it", async () => {
    await using testPlatform = await fixture.startPlatform({});
    await using plain = await raw.startRawRunner("p", (socket) => {
      socket.write(raw.formatResponse("r1", "booked"));
    });
    listPlainEntry(testPlatform.platform, "p", plain);
    await using gateway = await fixture.startGateway(testPlatform.platform, 90, 1);
    await fixture.waitForReady(gateway.ip);
    const below = await fixture.send(gateway.ip, "/book/x", { filler: "f".repeat(16_000) });
    earl.expect(below.status).toEqual(200);
    const above = await fixture.send(gateway.ip, "/book/x", { filler: "f".repeat(17_000) });
    earl.expect(above.status).toEqual(431);
    earl.expect(plain.requests.length).toEqual(1);
  });

  test.it("responds with 503, not 404, while it has no configuration", async () => {
    const platform = new store.StoreStandIn();
    await platform.start();
    await using _platform = platform;
    platform.mode = store.STORE_MODE.busy;
    await using gateway = await fixture.startGateway(platform, 82, 1);
    earl.expect((await fixture.send(gateway.ip, "/book/x")).status).toEqual(503);
    const ready = await fixture.read(gateway.ip, examples.PORTS.ready, "/-/ready");
    earl.expect(ready.status).toEqual(503);
  });

  test.it(
    "resumes a broken stream at another runner without lost, partial or repeated events",
    async () => {
      await using testPlatform = await fixture.startPlatform({ breakAfterEvents: 3 }, {});
      await using gateway = await fixture.startGateway(testPlatform.platform, 83, 1);
      await fixture.waitForReady(gateway.ip);
      fixture.addRetries(gateway, "model");
      const stream = await fixture.send(gateway.ip, "/notes/x", fixture.PROMPT);
      earl.expect([stream.status, stream.body]).toEqual([200, COMPLETE_STREAM]);
      earl.expect(testPlatform.decode.map((engine) => engine.ran)).toEqual([["r1"], ["r1"]]);
    },
  );

  test.it("repeats a prefill whose response was lost", async () => {
    await using testPlatform = await fixture.startPlatform({ droppedPrefillAnswers: 1 }, {});
    await using gateway = await fixture.startGateway(testPlatform.platform, 93, 1);
    await fixture.waitForReady(gateway.ip);
    fixture.addRetries(gateway, "model");
    const stream = await fixture.send(gateway.ip, "/notes/x", fixture.PROMPT);
    earl.expect([stream.status, stream.body]).toEqual([200, COMPLETE_STREAM]);
    earl.expect(testPlatform.prefill.prefills).toEqual(2);
  });

  test.it("does not repeat the prefill when decode runners refuse the request", async () => {
    await using testPlatform = await fixture.startPlatform({ refusals: 1 }, { refusals: 1 });
    await using gateway = await fixture.startGateway(testPlatform.platform, 84, 1);
    await fixture.waitForReady(gateway.ip);
    fixture.addRetries(gateway, "model");
    const stream = await fixture.send(gateway.ip, "/notes/x", fixture.PROMPT);
    earl.expect([stream.status, stream.body]).toEqual([200, COMPLETE_STREAM]);
    earl.expect(testPlatform.prefill.prefills).toEqual(1);
  });

  test.it("cancels the run of a caller that disconnected", async () => {
    await using testPlatform = await fixture.startPlatform({ eventCount: 100, eventPauseMs: 20 });
    await using gateway = await fixture.startGateway(testPlatform.platform, 85, 1);
    await fixture.waitForReady(gateway.ip);
    const controller = new AbortController();
    const abandoned = fixture.send(
      gateway.ip,
      "/notes/x",
      fixture.PROMPT,
      "body",
      controller.signal,
    );
    abandoned.catch(() => undefined);
    await fixture.waitFor("the request is running", () => testPlatform.decode[0]?.ran.length === 1);
    controller.abort();
    await fixture.waitFor(
      "the run is cancelled",
      () => testPlatform.decode[0]?.cancelled.length === 1,
    );
  });

  test.it("receives changes from peers while its own platform is unavailable", async () => {
    await using testPlatform = await fixture.startPlatform({});
    const refusing = new store.StoreStandIn();
    await refusing.start();
    await using _refusing = refusing;
    refusing.mode = store.STORE_MODE.busy;
    await using gateway = await fixture.startGateway(testPlatform.platform, 86, 1);
    await using otherGateway = await fixture.startGateway(refusing, 86, 2);
    await fixture.waitForReady(gateway.ip);
    await fixture.waitForReady(otherGateway.ip);
    await using plain = await raw.startRawRunner("p", (socket) => {
      socket.write(raw.formatResponse("r1", "booked"));
    });
    listPlainEntry(testPlatform.platform, "p", plain);
    const configuration = examples.createConfiguration(9);
    const routes = (configuration.routes as Record<string, unknown>[]).slice(1);
    testPlatform.platform.set("op/config", { ...configuration, routes });
    await fixture.waitFor("both use the new version", async () => {
      const dropped = await fixture.send(otherGateway.ip, "/notes/x", fixture.PROMPT);
      const booked = await fixture.send(otherGateway.ip, "/book/x");
      return dropped.status === 404 && booked.status === 200;
    });
  });

  test.it(
    "sends no new requests to a leaving runner, and lists its restarted process",
    async () => {
      await using testPlatform = await fixture.startPlatform({}, {});
      await using gateway = await fixture.startGateway(testPlatform.platform, 87, 1);
      await fixture.waitForReady(gateway.ip);
      const [first, second] = testPlatform.decode;
      const entry = { service: "model", stage: "decode", state: "draining" };
      testPlatform.platform.set(
        "servers/e1",
        examples.createRunnerEntry(first?.address ?? "", entry),
      );
      const { kernel } = gateway.running;
      await fixture.waitFor("the runner is marked as leaving", () => {
        return kernel.use("runners").find("e1")?.runner.leaving === true;
      });
      for (let count = 0; count < 5; count += 1) {
        await fixture.send(gateway.ip, "/notes/x", fixture.PROMPT);
      }
      earl.expect([first?.ran.length, second?.ran.length]).toEqual([0, 5]);
      const restartedEntry = { service: "model", stage: "decode", born: 2 };
      testPlatform.platform.set(
        "servers/e1",
        examples.createRunnerEntry(first?.address ?? "", restartedEntry),
      );
      await fixture.waitFor("its new process is listed", () => {
        return kernel.use("runners").find("e1")?.runner.bornAt === 2;
      });
    },
  );

  test.it(
    "reports that it is not ready, is removed from lookups and completes its calls while it drains",
    async () => {
      await using testPlatform = await fixture.startPlatform({ eventCount: 40, eventPauseMs: 20 });
      await using gateway = await fixture.startGateway(testPlatform.platform, 88, 1);
      await using otherGateway = await fixture.startGateway(testPlatform.platform, 88, 2);
      await fixture.waitForReady(gateway.ip);
      await fixture.waitForReady(otherGateway.ip);
      const { PORTS } = examples;
      const listAddresses = async (): Promise<string[]> => {
        const lookup = await fixture.read(
          otherGateway.ip,
          PORTS.directory,
          "/-/resolve?name=a&zone=a",
        );
        return (JSON.parse(lookup.body) as { addresses: string[] }).addresses;
      };
      await fixture.waitFor(
        "both are in the lookup",
        async () => (await listAddresses()).length === 2,
      );
      const stream = fixture.send(gateway.ip, "/notes/x", fixture.PROMPT);
      await fixture.waitFor(
        "the request is running",
        () => testPlatform.decode[0]?.ran.length === 1,
      );
      const drained = gateway.running.drain();
      const ready = await fixture.read(gateway.ip, PORTS.ready, "/-/ready");
      earl.expect(ready.status).toEqual(503);
      await fixture.waitFor("only the other is in the lookup", async () => {
        const addresses = await listAddresses();
        return addresses.length === 1 && addresses[0] === `${otherGateway.ip}:${PORTS.front}`;
      });
      earl.expect((await stream).body.includes("id: 39\n")).toEqual(true);
      await drained;
    },
  );

  test.it(
    "continues to place requests after the scheduler's VM stops without draining",
    async () => {
      await using testPlatform = await fixture.startPlatform({}, {});
      const gateways: fixture.TestGateway[] = [];
      for (const number of [1, 2, 3]) {
        const started = await fixture.startGateway(testPlatform.platform, 89, number);
        await fixture.waitForReady(started.ip);
        gateways.push(started);
      }
      const isScheduler = (gateway: fixture.TestGateway): boolean =>
        gateway.running.kernel.use("placement").listSchedulers(["model"]).size === 1;
      await fixture.waitFor("all agree on one scheduler", () => {
        const known = gateways.map((gateway) => gateway.running.kernel.use("membership"));
        const isComplete = known.every((fleet) => fleet.listAlive().length === 3);
        return isComplete && gateways.filter(isScheduler).length === 1;
      });
      const scheduler = gateways.find(isScheduler);
      const others = gateways.filter((gateway) => gateway !== scheduler);
      await scheduler?.[Symbol.asyncDispose]();
      for (const [index, other] of [...others, ...others].entries()) {
        const headers = { ...fixture.PROMPT, "request-id": `after-${index}` };
        const answer = await fixture.send(other.ip, "/notes/x", headers);
        earl.expect([answer.status, answer.body]).toEqual([200, COMPLETE_STREAM]);
      }
      for (const other of others) await other[Symbol.asyncDispose]();
    },
  );
});
