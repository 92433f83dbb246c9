/** A gateway that shuts down gets SIGTERM once more while requests are at work. */
import * as examples from "../../standins/users-platform/examples.js";
import * as clients from "../lib/client.js";
import * as deployments from "../lib/deployment.js";
import * as plainRunner from "../lib/plain-runner.js";
import * as records from "../lib/record.js";

const SETTLE_MS = 6_000;
const WORK_MS = 1_500;
const DEADLINE_MS = 3_000;
const REQUESTS = 20;
/** Time from the requests to the first SIGTERM, and from there to the second one. */
const TERM_DELAY_MS = 300;
const SECOND_TERM_DELAY_MS = 500;

await records.runCase("3", async (record) => {
  await using deployment = await deployments.Deployment.create(record);
  await using runner = new plainRunner.PlainRunner("i-first", "plain", WORK_MS);
  deployment.store.set("op/config", examples.createConfiguration(4));
  await runner.start(deployment.store);
  await deployment.startGateways(["a", "b"]);
  await records.wait(SETTLE_MS);
  const [gateway] = deployment.gateways;
  if (gateway === undefined) throw new Error("no gateway was started");
  const sent = Array.from({ length: REQUESTS }, () =>
    clients.sendRequest(gateway, "POST", "/book/x", DEADLINE_MS),
  );
  await records.wait(TERM_DELAY_MS);
  const termAt = performance.now();
  gateway.process.sendSignal("SIGTERM");
  record.write(`SIGTERM to ${gateway.name}`);
  if (records.isDisrupted) {
    await records.wait(SECOND_TERM_DELAY_MS);
    gateway.process.sendSignal("SIGTERM");
    record.write(`SIGTERM to ${gateway.name} once more`);
  }
  const exit = gateway.process.exited.then((code) => {
    const afterMs = Math.round(performance.now() - termAt);
    record.write(`${gateway.name} ended ${afterMs} ms after the first SIGTERM: ${String(code)}`);
  });
  let lost = 0;
  for (const answer of await Promise.all(sent)) {
    const hasRun = runner.ran.has(answer.id);
    const isLost = hasRun && (answer.status === undefined || !answer.isComplete);
    if (isLost) lost += 1;
    record.write(
      `${answer.id} to ${answer.gateway}: ${hasRun ? "run" : "not run"}, ` +
        `${String(answer.status)}${isLost ? ", connection closed without an answer" : ""}`,
    );
  }
  await exit;
  record.write(`requests that ran and got no complete answer: ${lost} of ${REQUESTS}`);
  return lost > 0 ? records.EXIT_CODE.broken : records.EXIT_CODE.held;
});
