/**
 * Four of eight machines lose power for two seconds while the configuration changes; the others have to take the change. A
 * machine without power is a process that is stopped, and later killed and started again.
 */
import * as registryReaders from "../../src/registry/registry-readers.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as clients from "../lib/client.js";
import * as deployments from "../lib/deployment.js";
import * as plainRunner from "../lib/plain-runner.js";
import * as records from "../lib/record.js";

/** Zones of the machines: eight in three zones. */
const ZONES = ["a", "a", "a", "a", "a", "a", "b", "c"] as const;
const SETTLE_MS = 7_000;
/** `for_s` of `herd_kill` in the site file. */
const DOWN_MS = 2_000;
/** Time from the loss of power to the change of the configuration. */
const CHANGE_DELAY_MS = 100;
const ROUNDS = 4;
const OBSERVE_MS = 6_000;
const REQUEST_PERIOD_MS = 100;
const DEADLINE_MS = 1_000;
const SERVICES = ["plain", "other"] as const;

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

await records.runCase("5", async (record) => {
  await using deployment = await deployments.Deployment.create(record);
  await using first = new plainRunner.PlainRunner("i-first", "plain", 5);
  await using second = new plainRunner.PlainRunner("i-second", "other", 5);
  const runners = [first, second];
  let version = 4;
  deployment.store.set("op/config", createConfiguration(version, "plain"));
  for (const runner of runners) await runner.start(deployment.store);
  await deployment.startGateways(ZONES);
  const { gateways } = deployment;
  const inA = gateways.filter(({ zone }) => zone === "a").map(({ name }) => name);
  const readers = registryReaders.chooseReaders(inA);
  record.write(`zone a: ${inA.join(" ")}; these read the store: ${readers.join(" ")}`);
  const struck = gateways.filter(({ name, zone }) => readers.includes(name) || zone !== "a");
  const calm = gateways.filter((gateway) => !struck.includes(gateway));
  let stale = 0;
  for (let round = 1; round <= ROUNDS; round += 1) {
    await Promise.all(gateways.map((gateway) => deployments.waitForReady(gateway)));
    await records.wait(SETTLE_MS);
    const lostAt = performance.now();
    if (records.isDisrupted) {
      for (const { process: child } of struck) child.sendSignal("SIGSTOP");
      record.write(`no power: ${struck.map(({ name }) => name).join(" ")}`);
    }
    await records.wait(CHANGE_DELAY_MS);
    version += 3;
    deployment.store.set("op/config", createConfiguration(version, SERVICES[round % 2] ?? ""));
    const old = runners[(round + 1) % 2];
    const acknowledgedAt = performance.now();
    record.write(`version ${version} acknowledged`);
    const sent: Promise<clients.Answer>[] = [];
    let isBack = !records.isDisrupted;
    while (performance.now() - acknowledgedAt < OBSERVE_MS) {
      for (const gateway of calm)
        sent.push(clients.sendRequest(gateway, "GET", "/status/x", DEADLINE_MS));
      await records.wait(REQUEST_PERIOD_MS);
      if (isBack || performance.now() - lostAt < DOWN_MS) continue;
      isBack = true;
      for (const { process: child } of struck) child.sendSignal("SIGKILL");
      await Promise.all(struck.map((gateway) => deployment.restart(gateway)));
    }
    for (const answer of await Promise.all(sent)) {
      const afterMs = Math.round(answer.sentAt - acknowledgedAt);
      const isStale =
        answer.sentAt > acknowledgedAt + deployments.BOUNDS.configMs &&
        old?.ran.has(answer.id) === true;
      if (isStale) stale += 1;
      const ran = runners.find((runner) => runner.ran.has(answer.id))?.service ?? "none";
      if (isStale || afterMs > deployments.BOUNDS.configMs)
        record.write(
          `${answer.id} to ${answer.gateway}, sent ${afterMs} ms after the change: ` +
            `${String(answer.status)}, run by service ${ran}${isStale ? ", too late" : ""}`,
        );
    }
    record.write(`round ${round}: requests run by the old service too late so far: ${stale}`);
  }
  record.write(`requests sent over 2000 ms after a change and run by the old service: ${stale}`);
  return stale > 0 ? records.EXIT_CODE.broken : records.EXIT_CODE.held;
});
