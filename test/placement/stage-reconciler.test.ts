import * as test from "node:test";
import * as earl from "earl";
import * as runnerCodec from "../../platform/runner-codec.js";
import * as random from "../../src/kernel/random.js";
import * as poolScheduler from "../../src/placement/pool-scheduler.js";
import * as stageReconciler from "../../src/placement/stage-reconciler.js";
import * as runnerTable from "../../src/runners/runner-table.js";
import type * as runnerCalls from "../../src/runners/runner-calls.js";
import type * as runners from "../../src/runners/types.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as raw from "../runners/raw-runner.js";
import * as routingFixture from "../routing/routing-fixture.js";

const LEASE_MS = 3_000;
const SERVICE = "model";
const log = { write: () => undefined };
const metrics = {
  count: () => undefined,
  set: () => undefined,
  recordDuration: () => undefined,
  format: () => Promise.resolve(""),
};

interface SentOrder {
  readonly runner: string;
  readonly stage: string;
  readonly token: number;
  readonly at: number;
  readonly hasOwnConnection: boolean;
}

interface OrderBody {
  readonly stage: string;
  readonly fencing_token: number;
}

/** A pool with three runners of each stage, and a VM that reconciles their stages. */
function createPool(vm = "vm-1") {
  const clock = fakeClock.createFakeClock();
  const table = new runnerTable.RunnerTable(clock, log);
  const set = (id: string, stage: runners.Stage, changes: Partial<runners.Runner> = {}): void => {
    const runner = { ...raw.createRunner(id, 1), service: SERVICE, slots: 16, stage, ...changes };
    table.setRunner(id, runner);
  };
  for (const number of [1, 2, 3]) {
    set(`p${number}`, "prefill");
    set(`d${number}`, "decode");
  }
  const scheduler = new poolScheduler.PoolScheduler({
    clock,
    log,
    listCandidates: () => table.listUsable(SERVICE),
    findEngine: () => routingFixture.ENGINE,
  });
  const orders: SentOrder[] = [];
  const paused = new Set<string>();
  const state = { hasMajority: true, isScheduler: true, status: 202, revision: 40, paused };
  const sendMessage: runnerCalls.RunnerCalls["sendMessage"] = (runner, message) => {
    if (message.method === "GET") {
      const stage = table.find(runner.id)?.runner.stage;
      return Promise.resolve({ status: 200, body: Buffer.from(JSON.stringify({ stage })) });
    }
    const body = JSON.parse(String(message.body)) as OrderBody;
    const { stage, fencing_token: token } = body;
    const hasOwnConnection = message.newConnection === true;
    orders.push({ runner: runner.id, stage, token, at: clock.now(), hasOwnConnection });
    return Promise.resolve({ status: state.status, body: Buffer.from("") });
  };
  const reconciler = new stageReconciler.StageReconciler({
    clock,
    log,
    metrics,
    vm,
    getLeaseMs: () => LEASE_MS,
    runners: table,
    calls: { sendMessage } as unknown as runnerCalls.RunnerCalls,
    codec: runnerCodec.RUNNER_CODEC,
    pauses: { computePause: ({ id }) => (state.paused.has(id) ? 1_000 : 0) },
    listSchedulers: () => new Map(state.isScheduler ? [[SERVICE, scheduler]] : []),
    hasMajority: () => state.hasMajority,
    getRevision: () => state.revision,
  });
  void reconciler.run();
  const load = (promptTokens = 5_000, outputTokens = 4_000): void => {
    const source = random.createSeededRandom(1);
    for (let count = 0; count < 12; count += 1) {
      const key = `r${count}-${source.nextFloat()}/0`;
      const request = {
        key,
        service: SERVICE,
        retryKey: key,
        promptTokens,
        estimatedOutputTokens: outputTokens,
        generatedTokens: 0,
        maxOutputTokens: 2 * outputTokens,
        targetMs: 900,
        maxWaitMs: 2_500,
        zone: "a",
        excluded: [],
      };
      scheduler.submit(request, () => undefined);
    }
  };
  return {
    clock,
    set,
    orders,
    state,
    load,
    [Symbol.asyncDispose]: async () => {
      scheduler.close();
      await reconciler[Symbol.asyncDispose]();
    },
  };
}

/**
 * Guards against conflicting orders: two VMs may both take themselves for the scheduler for some
 * time, after a partition or a pause, and would then switch the same runners back and forth.
 */
test.describe("StageReconciler", () => {
  // Guards against taking an earlier answer, which a runner wrote once more on a kept connection, for that to an order.
  test.it("sends an order on a connection of its own", async () => {
    await using pool = createPool();
    pool.load();
    await pool.clock.advance(2 * LEASE_MS + 5_000);
    earl.expect(pool.orders.map(({ hasOwnConnection }) => hasOwnConnection)).toEqual([true]);
  });

  test.it(
    "orders one prefill runner to decode, and sends no further order in the 20 s after its switch",
    async () => {
      await using pool = createPool();
      pool.load();
      await pool.clock.advance(11_000);
      earl.expect(pool.orders.map(({ stage }) => stage)).toEqual(["decode"]);
      const [first] = pool.orders;
      pool.set(first?.runner ?? "", "decode");
      await pool.clock.advance(20_000);
      earl.expect(pool.orders.length).toEqual(1);
    },
  );

  // Guards against streams that cannot go on since their version has no decode runner left.
  test.it("takes no decode runner that is the last of its software version", async () => {
    await using pool = createPool();
    pool.set("d1", "decode", { softwareVersion: "v0" });
    pool.load(50_000, 10);
    await pool.clock.advance(11_000);
    earl
      .expect(pool.orders.map(({ runner, stage }) => [runner, stage]))
      .toEqual([["d2", "prefill"]]);
  });

  // Guards against orders to runners that want nothing from this VM.
  test.it("orders no runner that asked for a pause", async () => {
    await using pool = createPool();
    pool.state.paused.add("d1");
    pool.load(50_000, 10);
    await pool.clock.advance(11_000);
    earl.expect(pool.orders.map(({ runner }) => runner)).toEqual(["d2"]);
  });

  test.it("waits at least for the order lease before its first order", async () => {
    await using pool = createPool();
    pool.load();
    await pool.clock.advance(20_000);
    earl.expect((pool.orders[0]?.at ?? 0) >= LEASE_MS).toEqual(true);
  });

  test.it(
    "sends no orders without a majority, and waits for the order lease after it regains one",
    async () => {
      await using pool = createPool();
      pool.state.hasMajority = false;
      pool.load();
      await pool.clock.advance(10_000);
      earl.expect(pool.orders).toEqual([]);
      pool.state.hasMajority = true;
      const regainedAt = pool.clock.now();
      await pool.clock.advance(10_000);
      earl.expect((pool.orders[0]?.at ?? 0) >= regainedAt + LEASE_MS).toEqual(true);
    },
  );

  test.it(
    "sends no orders while another VM schedules the service, nor within the order lease afterwards",
    async () => {
      await using pool = createPool();
      pool.load();
      await pool.clock.advance(2_000);
      pool.state.isScheduler = false;
      await pool.clock.advance(10_000);
      pool.state.isScheduler = true;
      const schedulerAgainAt = pool.clock.now();
      await pool.clock.advance(10_000);
      earl.expect(pool.orders.filter(({ at }) => at < schedulerAgainAt + LEASE_MS)).toEqual([]);
    },
  );

  test.it(
    "sends no order after a runner rejected its fencing token until the token is higher",
    async () => {
      await using pool = createPool();
      pool.state.status = 412;
      pool.load();
      await pool.clock.advance(30_000);
      earl.expect(pool.orders.length).toEqual(1);
      pool.state.revision = 41;
      pool.state.status = 202;
      await pool.clock.advance(10_000);
      earl.expect(pool.orders.length).toEqual(2);
      earl.expect((pool.orders[1]?.token ?? 0) > (pool.orders[0]?.token ?? 0)).toEqual(true);
    },
  );

  test.it("uses a different fencing token than another VM at the same revision", async () => {
    await using firstPool = createPool("vm-1");
    await using secondPool = createPool("vm-2");
    for (const pool of [firstPool, secondPool]) {
      pool.load();
      await pool.clock.advance(11_000);
    }
    earl.expect(firstPool.orders[0]?.token === secondPool.orders[0]?.token).toEqual(false);
  });
});
