import * as test from "node:test";
import * as earl from "earl";
import type * as documents from "../../src/settings/document.js";
import * as demoChecks from "../../standins/demo-checks.js";
import * as expectedTokens from "../../standins/engine/expected-tokens.js";
import type * as processFleet from "../../standins/process-fleet.js";
import * as relays from "../../standins/relay.js";
import * as fixture from "./fleet-fixture.js";

const MAX_TOKENS = 200;

test.describe("connections to upstreams that go silent", () => {
  let fleet: processFleet.ProcessFleet;
  const opened: relays.Relay[] = [];

  test.before(async () => {
    fleet = await fixture.startFleet();
    await publishRelayed();
  });

  test.after(async () => {
    await fleet[Symbol.asyncDispose]();
    for (const relay of opened) await relay[Symbol.asyncDispose]();
  });

  test.it("splices the answer of a decode stream that went silent", async () => {
    const prompt = "silent stream #tokens=180";
    const client = demoChecks.createClient(fleet, fixture.MODEL_CALLER);
    const model = fleet.document.models[0]?.name ?? "";
    let text = "";
    let silenced = 0;
    for await (const event of client.streamModel({ model, maxTokens: MAX_TOKENS, prompt })) {
      if (event.type === "failed") throw new Error(event.failure.message);
      if (event.type !== "token") continue;
      text += event.text;
      if (event.offset === 20) silenced = silenceAll();
    }
    const expected = expectedTokens.computeExpectedTokens(prompt, MAX_TOKENS).join("");
    earl.expect(silenced).toBeGreaterThan(0);
    earl.expect(text).toEqual(expected);
    earl.expect(await demoChecks.waitUntilNothingHeld(fleet)).toEqual(undefined);
  });

  test.it("answers plain calls although every kept connection went silent", async () => {
    const place = fixture.getPlace(fleet, 0);
    await readTile(place);
    earl.expect(silenceAll()).toBeGreaterThan(0);
    earl.expect(await readTile(place)).toEqual(200);
    silenceAll();
    const id = `${await fixture.readSession(place)}.1`;
    earl.expect((await fixture.sendRegistration(place, id, 1)).status).toEqual(200);
    earl.expect(await fixture.countExecutions(fleet, id)).toEqual(1);
  });

  /** Puts relays before the decode runners and the backends by publishing a newer document. */
  async function publishRelayed(): Promise<void> {
    const revision = fleet.document.revision + 1;
    const document: documents.FleetDocument = structuredClone(fleet.document);
    document.revision = revision;
    const decodeRunners = document.runners.filter((runner) => runner.pool.endsWith("decode"));
    const backends = document.services.flatMap((service) => service.backends);
    for (const target of [...decodeRunners, ...backends]) {
      const relay = await relays.Relay.start(target.port);
      opened.push(relay);
      target.port = relay.port;
    }
    await fixture.writeControl(fleet.platformPort, { publish: { revision, document } });
    for (const place of fleet.places) await fixture.waitForRevision(place, revision);
  }

  function silenceAll(): number {
    const active = opened.reduce((sum, relay) => sum + relay.active, 0);
    for (const relay of opened) relay.silence();
    return active;
  }
});

async function readTile(place: processFleet.NodePlace): Promise<number> {
  const path = `/services/${fixture.SERVICE}/tiles/8803/5374`;
  const response = await fetch(`http://${fixture.HOST}:${place.callerPort}${path}`, {
    headers: { authorization: `Bearer demo-${fixture.PLAIN_CALLER}` },
  });
  await response.arrayBuffer();
  return response.status;
}
