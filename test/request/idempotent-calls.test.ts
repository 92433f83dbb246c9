import * as test from "node:test";
import * as earl from "earl";
import * as upstream from "../../src/upstream/types.js";
import * as fakes from "./fake-fleet.js";

const FETCH_OPERATION = { ...fakes.BOOK_OPERATION, method: "GET", idempotent: true } as const;

function createNode() {
  const fleet = new fakes.FakeFleet();
  const node = fleet.add("a", "zone-a");
  const run = async (body: string, deadlineMs = 1000, path = "/bookings"): Promise<unknown> => {
    const call = fakes.readResult(
      node.kernel.use("plainCalls").run(
        {
          caller: fakes.CALLER,
          service: fakes.SERVICE,
          operation: FETCH_OPERATION,
          id: undefined,
          attempt: 1,
          request: { method: "GET", path, headers: {}, body: Buffer.from(body) },
          deadlineMs,
        },
        new AbortController().signal,
      ),
    );
    await fleet.clock.advance(deadlineMs + 100);
    return await call;
  };
  return { fleet, node, run, used: fleet.service.backendsUsed };
}

/** Creates a node whose retry budget is full. */
async function createWarmNode() {
  const created = createNode();
  await created.fleet.clock.advance(20_000);
  created.node.kernel.use("retryBudgets").recordCall(fakes.SERVICE.name);
  return created;
}

function createFailingBehaviour(failure: upstream.UpstreamFailure, backends: readonly string[]) {
  return (backend: string, execute: () => void): Promise<void> => {
    if (backends.includes(backend)) return Promise.reject(new upstream.UpstreamError(failure, ""));
    execute();
    return Promise.resolve();
  };
}

test.describe("IdempotentCalls", () => {
  // Guards against BUDGET: a failure of the service cleared the record of a request that had ended backends.
  test.it(
    "keeps the crash record of a request that the service answers with a failure",
    async () => {
      const { fleet, node, run } = await createWarmNode();
      const { broken } = upstream.UPSTREAM_FAILURE;
      fleet.service.handleCall = createFailingBehaviour(broken, ["back-a"]);
      fleet.service.status = 500;
      await run("1");
      const crashes = node.kernel.use("crashes");
      const target = `${fakes.SERVICE.name} GET /bookings`;
      const body = Buffer.from("1");
      const fingerprint = crashes.computeFingerprint(fakes.CALLER.name, target, body);
      earl.expect(crashes.isSuspect(fingerprint)).toEqual(true);
    },
  );

  test.it(
    "prefers the local zone, falls back to another one and avoids a failed backend for a time",
    async () => {
      const { fleet, run, used } = await createWarmNode();
      earl.expect(await run("1")).toEqual(201);
      fleet.service.handleCall = createFailingBehaviour(upstream.UPSTREAM_FAILURE.broken, [
        "back-a",
      ]);
      for (const body of ["2", "3"]) earl.expect(await run(body, 10)).toEqual(201);
      earl.expect(used).toEqual(["back-a", "back-a", "back-b", "back-b"]);
      await fleet.clock.advance(1000);
      fleet.service.handleCall = createFailingBehaviour(upstream.UPSTREAM_FAILURE.broken, []);
      earl.expect(await run("4")).toEqual(201);
      earl.expect(used.at(-1)).toEqual("back-a");
    },
  );

  test.it("tries another backend before the deadline when one does not answer", async () => {
    const { fleet, run, used } = await createWarmNode();
    fleet.service.handleCall = (backend, _execute, signal) => {
      if (backend === "back-b") return Promise.resolve();
      return new Promise((_, reject) => {
        signal.addEventListener("abort", () => {
          reject(signal.reason as Error);
        });
      });
    };
    earl.expect(await run("1")).toEqual(201);
    earl.expect(used).toEqual(["back-a", "back-b"]);
  });

  test.it(
    "reports `ran: no` only if no connection was made, and stops when its retry budget is used up",
    async () => {
      const { fleet, run, used } = await createWarmNode();
      fleet.retryShare = undefined;
      const all = ["back-a", "back-b"];
      fleet.service.handleCall = createFailingBehaviour(
        upstream.UPSTREAM_FAILURE.notConnected,
        all,
      );
      earl.expect(await run("1", 600_000)).toEqual("3002 no");
      earl.expect(used.length).toEqual(3);
      fleet.service.handleCall = createFailingBehaviour(upstream.UPSTREAM_FAILURE.broken, all);
      earl.expect(await run("2")).toEqual("3002 unknown");
    },
  );

  test.it(
    "refuses a request that crashed two backends, and only that request, without sending it again",
    async () => {
      const { fleet, run, used } = await createWarmNode();
      const all = ["back-a", "back-b"];
      fleet.service.handleCall = createFailingBehaviour(upstream.UPSTREAM_FAILURE.broken, all);
      earl.expect(await run("poison")).toEqual("1010 unknown");
      earl.expect(used).toEqual(all);
      fleet.service.handleCall = createFailingBehaviour(upstream.UPSTREAM_FAILURE.broken, []);
      earl.expect(await run("poison")).toEqual("1010 no");
      earl.expect(used).toEqual(all);
      earl.expect(await run("other")).toEqual(201);
      earl.expect(await run("poison", 1000, "/status")).toEqual(201);
    },
  );
});
