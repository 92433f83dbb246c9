/** A configuration that has grown by many routes; then one route moves to another service. */
import * as examples from "../../standins/users-platform/examples.js";
import * as clients from "../lib/client.js";
import * as deployments from "../lib/deployment.js";
import * as plainRunner from "../lib/plain-runner.js";
import * as records from "../lib/record.js";

/** Steps by which the configuration grows: each as large as the largest `big_config` of the small sites. */
const GROWTH_STEPS = 16;
const ROUTES_PER_STEP = 350;
/** `value_bytes` of the settings. */
const MAX_VALUE_BYTES = 1_048_576;
const STEP_PAUSE_MS = 500;
/** Time from the last growth to the change of the route. */
const SETTLE_MS = 6_000;
const OBSERVE_MS = 12_000;
const REQUEST_PERIOD_MS = 250;
const DEADLINE_MS = 1_000;
const PATH = "/status/x";

/** Returns a configuration with idle routes; `service` serves the route that is asked for. */
function createConfiguration(version: number, idleRoutes: number, service: string): unknown {
  const base = examples.createConfiguration(version) as {
    routes: Record<string, unknown>[];
    services: unknown[];
  };
  const routes = base.routes.map((route) =>
    route.name === "status" ? { ...route, service } : route,
  );
  for (let number = 0; number < idleRoutes; number += 1) {
    const name = number.toString(36).padStart(7, "0");
    routes.push({
      name: `r-${name}`,
      host: "api.example",
      path_prefix: `/i${String(number).padStart(6, "0")}/`,
      kind: "safe",
      timeout_ms: 1_000,
      target_latency_ms: 193,
      priority: 2,
      service: "plain",
      max_attempts: 2,
    });
  }
  const other = { name: "other", health_path: "/health", max_connections: 100 };
  return { ...base, routes, services: [...base.services, other] };
}

await records.runCase("3", async (record) => {
  await using deployment = await deployments.Deployment.create(record);
  await using first = new plainRunner.PlainRunner("i-first", "plain", 5);
  await using second = new plainRunner.PlainRunner("i-second", "other", 5);
  let version = 4;
  const publish = (idleRoutes: number, service: string): void => {
    const configuration = createConfiguration(version, idleRoutes, service);
    const bytes = Buffer.byteLength(JSON.stringify(configuration));
    if (bytes > MAX_VALUE_BYTES) throw new Error(`configuration has ${bytes} bytes`);
    deployment.store.set("op/config", configuration);
    record.write(`version ${version} acknowledged: ${idleRoutes} idle routes, ${bytes} bytes`);
    version += 3;
  };
  publish(0, "plain");
  await first.start(deployment.store);
  await second.start(deployment.store);
  await deployment.startGateways(["a", "a", "a", "a", "a"]);
  await records.wait(SETTLE_MS);
  let idleRoutes = 0;
  for (let step = 0; records.isDisrupted && step < GROWTH_STEPS; step += 1) {
    idleRoutes += ROUTES_PER_STEP;
    publish(idleRoutes, "plain");
    await records.wait(STEP_PAUSE_MS);
  }
  await records.wait(SETTLE_MS);
  publish(idleRoutes, "other");
  const acknowledgedAt = performance.now();
  const sent: Promise<clients.Answer>[] = [];
  while (performance.now() - acknowledgedAt < OBSERVE_MS) {
    for (const gateway of deployment.gateways)
      sent.push(clients.sendRequest(gateway, "GET", PATH, DEADLINE_MS));
    await records.wait(REQUEST_PERIOD_MS);
  }
  const boundAt = acknowledgedAt + deployments.BOUNDS.configMs;
  let stale = 0;
  const staleByGateway = new Map<string, number>();
  for (const answer of await Promise.all(sent)) {
    const ranOld = first.ran.has(answer.id);
    const isStale = answer.sentAt > boundAt && ranOld;
    if (isStale) stale += 1;
    if (isStale) staleByGateway.set(answer.gateway, (staleByGateway.get(answer.gateway) ?? 0) + 1);
    const afterMs = Math.round(answer.sentAt - acknowledgedAt);
    const ran = ranOld ? "old service" : second.ran.has(answer.id) ? "new service" : "not run";
    record.write(
      `${answer.id} to ${answer.gateway}, sent ${afterMs} ms after the change: ` +
        `${String(answer.status)}, ${ran}${isStale ? ", too late" : ""}`,
    );
  }
  record.write(`requests sent over 2000 ms after the change and run by the old service: ${stale}`);
  for (const [gateway, count] of staleByGateway) record.write(`of these at ${gateway}: ${count}`);
  return stale > 0 ? records.EXIT_CODE.broken : records.EXIT_CODE.held;
});
