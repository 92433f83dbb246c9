/**
 * Guards against requests that hang or fail when connections to upstreams stay open but deliver
 * nothing. Relays in front of the upstreams drop all bytes of the connections open at that time.
 */
import * as test from "node:test";
import * as earl from "earl";
import type * as documents from "../../src/settings/document.js";
import * as demoChecks from "../../standins/demo-checks.js";
import * as expectedTokens from "../../standins/engine/expected-tokens.js";
import type * as processFleet from "../../standins/process-fleet.js";
import * as relays from "../../standins/relay.js";
import * as fixture from "./fleet-fixture.js";

const MAX_TOKENS = 200;

test.describe("upstream connections that stop responding", () => {
  let fleet: processFleet.ProcessFleet;
  const startedRelays: relays.Relay[] = [];
  const backendRelays: relays.Relay[] = [];

  test.before(async () => {
    fleet = await fixture.startFleet();
    await publishRelayedDocument();
  });

  test.after(async () => {
    await fleet[Symbol.asyncDispose]();
    for (const relay of startedRelays) await relay[Symbol.asyncDispose]();
  });

  test.it("returns a complete answer when a decode stream stops responding", async () => {
    const prompt = "silent stream #tokens=180";
    const client = demoChecks.createClient(fleet, fixture.MODEL_CALLER);
    const model = fleet.document.models[0]?.name ?? "";
    let text = "";
    let silencedConnections = 0;
    for await (const event of client.streamModel({ model, maxTokens: MAX_TOKENS, prompt })) {
      if (event.type === "failed") throw new Error(event.failure.message);
      if (event.type !== "token") continue;
      text += event.text;
      if (event.offset === 20) silencedConnections = silenceConnections();
    }
    const expected = expectedTokens.computeExpectedTokens(prompt, MAX_TOKENS).join("");
    earl.expect(silencedConnections).toBeGreaterThan(0);
    earl.expect(text).toEqual(expected);
    earl.expect(await demoChecks.waitUntilReleased(fleet)).toEqual(undefined);
  });

  // A connection to a backend is open only while its call is in progress, so none can stop responding before the next call.
  test.it("answers plain calls when every open connection stops responding", async () => {
    const node = fixture.getNodeAddress(fleet, 0);
    earl.expect(await readTile(node)).toEqual(200);
    await fixture.waitUntil(
      "no connection to a backend is open",
      () => countBackendConnections() === 0,
    );
    silenceConnections();
    earl.expect(await readTile(node)).toEqual(200);
    silenceConnections();
    const id = `${await fixture.readSession(node)}.1`;
    earl.expect((await fixture.sendRegistration(node, id, 1)).status).toEqual(200);
    earl.expect(await fixture.countExecutions(fleet, id)).toEqual(1);
  });

  /** Publishes a newer document that routes decode runners and backends through relays. */
  async function publishRelayedDocument(): Promise<void> {
    const revision = fleet.document.revision + 1;
    const document: documents.FleetDocument = structuredClone(fleet.document);
    document.revision = revision;
    const decodeRunners = document.runners.filter((runner) => runner.pool.endsWith("decode"));
    for (const runner of decodeRunners) startedRelays.push(await addRelay(runner));
    for (const backend of document.services.flatMap((service) => service.backends)) {
      const relay = await addRelay(backend);
      backendRelays.push(relay);
      startedRelays.push(relay);
    }
    await fixture.writeControl(fleet.platformPort, { publish: { revision, document } });
    for (const node of fleet.nodeAddresses) await fixture.waitForRevision(node, revision);
  }

  function countBackendConnections(): number {
    return backendRelays.reduce((sum, relay) => sum + relay.activeConnections, 0);
  }

  function silenceConnections(): number {
    const active = startedRelays.reduce((sum, relay) => sum + relay.activeConnections, 0);
    for (const relay of startedRelays) relay.silence();
    return active;
  }
});

/** Starts a relay before an upstream and replaces the port of the upstream by its own. */
async function addRelay(target: { port: number }): Promise<relays.Relay> {
  const relay = await relays.Relay.start(target.port);
  target.port = relay.port;
  return relay;
}

async function readTile(node: processFleet.NodeAddress): Promise<number> {
  const path = `/services/${fixture.SERVICE}/tiles/8803/5374`;
  const response = await fetch(`http://${fixture.HOST}:${node.callerPort}${path}`, {
    headers: { authorization: `Bearer demo-${fixture.PLAIN_CALLER}` },
  });
  await response.arrayBuffer();
  return response.status;
}
