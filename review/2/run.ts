/** The store comes back from a copy some seconds old; the configuration changes six seconds later. */
import * as examples from "../../standins/users-platform/examples.js";
import * as clients from "../lib/client.js";
import * as deployments from "../lib/deployment.js";
import * as plainRunner from "../lib/plain-runner.js";
import * as records from "../lib/record.js";
import * as restoredStore from "../lib/restored-store.js";

const SETTLE_MS = 6_000;
/** The storm of the site file: a change each 330 ms for 4 s. */
const STORM_CHANGES = 12;
const STORM_GAP_MS = 330;
const AWAY_MS = 1_000;
/** Time from the return of the store to the change, twice the time in which it counts as stable again. */
const CALM_MS = 6_000;
const OBSERVE_MS = 12_000;
const REQUEST_PERIOD_MS = 200;
const DEADLINE_MS = 1_000;

function createConfiguration(version: number, service: string): unknown {
  const base = examples.createConfiguration(version) as {
    routes: Record<string, unknown>[];
    services: unknown[];
  };
  const routes = base.routes.map((route) =>
    route.name === "status" ? { ...route, service } : route,
  );
  const other = { name: "other", health_path: "/health", max_connections: 100 };
  return { ...base, routes, services: [...base.services, other] };
}

await records.runCase("2", async (record) => {
  const store = new restoredStore.RestoredStore();
  await using deployment = await deployments.Deployment.create(record, store);
  await using first = new plainRunner.PlainRunner("i-first", "plain", 5);
  await using second = new plainRunner.PlainRunner("i-second", "other", 5);
  let version = 4;
  const publish = (service: string): void => {
    store.set("op/config", createConfiguration(version, service));
    record.write(`version ${version} acknowledged at revision ${store.revision}`);
  };
  publish("plain");
  for (const runner of [first, second]) await runner.start(store);
  await deployment.startGateways(["a", "b", "c"]);
  await records.wait(SETTLE_MS);
  const copy = store.copy();
  for (let change = 0; change < STORM_CHANGES; change += 1) {
    version += 3;
    publish("plain");
    await records.wait(STORM_GAP_MS);
  }
  if (records.isDisrupted) {
    store.leave();
    await records.wait(AWAY_MS);
    store.restore(copy);
    record.write(`the store is back from its copy, at revision ${store.revision}`);
    // The operator and the runners write again what the store has lost.
    publish("plain");
    for (const runner of [first, second]) runner.publish(store);
  }
  await records.wait(CALM_MS);
  version += 3;
  publish("other");
  const acknowledgedAt = performance.now();
  const sent: Promise<clients.Answer>[] = [];
  while (performance.now() - acknowledgedAt < OBSERVE_MS) {
    for (const gateway of deployment.gateways)
      sent.push(clients.sendRequest(gateway, "GET", "/status/x", DEADLINE_MS));
    await records.wait(REQUEST_PERIOD_MS);
  }
  let stale = 0;
  for (const answer of await Promise.all(sent)) {
    const afterMs = Math.round(answer.sentAt - acknowledgedAt);
    const ranOld = first.ran.has(answer.id);
    const isStale = afterMs > deployments.BOUNDS.configMs && ranOld;
    if (isStale) stale += 1;
    const ran = ranOld ? "old service" : second.ran.has(answer.id) ? "new service" : "not run";
    record.write(
      `${answer.id} to ${answer.gateway}, sent ${afterMs} ms after the change: ` +
        `${String(answer.status)}, ${ran}${isStale ? ", too late" : ""}`,
    );
  }
  record.write(`requests sent over 2000 ms after the change and run by the old service: ${stale}`);
  return stale > 0 ? records.EXIT_CODE.broken : records.EXIT_CODE.held;
});
