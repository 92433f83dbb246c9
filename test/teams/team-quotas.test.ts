import * as test from "node:test";
import * as earl from "earl";
import * as dutyHolders from "../../src/membership/duty-holders.js";
import * as resultCodes from "../../src/protocol/result-codes.js";
import type * as routing from "../../src/routing/types.js";
import * as quotaLedger from "../../src/teams/quota-ledger.js";
import * as quotaServing from "../../src/teams/quota-serving.js";
import * as teamQuotas from "../../src/teams/team-quotas.js";
import * as inertMetrics from "../telemetry/inert-metrics.js";
import * as fakes from "../request/fake-fleet.js";

const QUOTA = { perSecond: 100, burst: 100, unit: "token", plainCost: 10 } as const;
const { signal } = new AbortController();
const { RESULT_CODES, RAN } = resultCodes;

interface NodeChanges {
  readonly version?: number;
  readonly quota?: routing.TeamQuota;
  /** Part of the fleet that the node sees alive. */
  readonly part?: number;
}

function addNode(
  fleet: fakes.FakeFleet,
  vm: string,
  { version = 1, quota = QUOTA, part = 1 }: NodeChanges = {},
): teamQuotas.TeamQuotas {
  const { kernel } = fleet.add(vm, "zone-a");
  const members = kernel.use("membership");
  const shared = {
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: inertMetrics.createInertMetrics(),
    vm,
    holders: new dutyHolders.DutyHolders(members),
  };
  const fleetSize = { computeAlivePart: () => part };
  const configuration = { version, teams: [{ name: "t", quota }] };
  return new teamQuotas.TeamQuotas({
    ...shared,
    network: kernel.use("network"),
    routing: { current: { configuration } } as never,
    ledger: new quotaLedger.QuotaLedger({ ...shared, fleetSize, membership: members }),
  });
}

/** Returns what a question was answered with: `granted`, or the code of the refusal and its retry time. */
async function ask(
  fleet: fakes.FakeFleet,
  node: teamQuotas.TeamQuotas | undefined,
  cost: number,
): Promise<string> {
  const answer = node?.reserve({ team: "t", cost }, QUOTA, signal).then(
    () => "granted",
    (error: unknown) => {
      const { code, retryAfterMs } = error as resultCodes.RequestError;
      return `${code.number} ${retryAfterMs ?? "never"}`;
    },
  );
  const answers: string[] = [];
  void answer?.then((text) => answers.push(text));
  while (answers.length === 0) await fleet.clock.advance(1);
  return answers[0] ?? "";
}

async function startFleet(
  changes: Readonly<Record<string, NodeChanges>>,
): Promise<[fakes.FakeFleet, ReadonlyMap<string, teamQuotas.TeamQuotas>]> {
  const fleet = new fakes.FakeFleet();
  const nodes = new Map(
    Object.entries(changes).map(([vm, change]) => [vm, addNode(fleet, vm, change)]),
  );
  await fleet.clock.advance(5_000);
  return [fleet, nodes];
}

/** VMs that grant the quota of team `t` in a fleet of `a`, `b` and `c`, in order. */
const [HOLDER = "", STANDBY = "", OTHER = ""] = ((): readonly string[] => {
  const vms = ["a", "b", "c"].map((vm) => ({ vm }));
  const ranked = dutyHolders.chooseRanked(quotaLedger.formatDuty("t"), vms);
  const rest = vms.map(({ vm }) => vm).filter((vm) => !ranked.includes(vm));
  return [...ranked, ...rest];
})();

test.describe("TeamQuotas", () => {
  test.it(
    "grants a burst after an idle time, and refuses what goes beyond with a time",
    async () => {
      const [fleet, nodes] = await startFleet({ a: {}, b: {}, c: {} });
      earl.expect(await ask(fleet, nodes.get("a"), 99)).toEqual("granted");
      earl.expect(await ask(fleet, nodes.get("b"), 151)).toEqual("granted");
      earl.expect(await ask(fleet, nodes.get("c"), 1)).toEqual("2007 1499");
    },
  );

  test.it("refuses what no VM will ever grant without a time", async () => {
    const [fleet, nodes] = await startFleet({ a: {}, b: {}, c: {} });
    earl.expect(await ask(fleet, nodes.get("a"), 501)).toEqual("2007 never");
  });

  test.it("asks the next VM while the one that grants does not answer", async () => {
    const [fleet, nodes] = await startFleet({ a: {}, b: {}, c: {} });
    fleet.lostRequests.add(`${OTHER}>${HOLDER}`);
    earl.expect(await ask(fleet, nodes.get(OTHER), 20)).toEqual("granted");
  });

  test.it("refuses as not run, with 503, if no VM that grants is reached", async () => {
    const [fleet, nodes] = await startFleet({ a: {}, b: {}, c: {} });
    for (const vm of [HOLDER, STANDBY]) fleet.lostRequests.add(`${OTHER}>${vm}`);
    earl.expect(await ask(fleet, nodes.get(OTHER), 20)).toEqual("2001 250");
  });

  test.it("grants nothing while it is not known which VMs there are", async () => {
    const [fleet, nodes] = await startFleet({ a: { part: 0 }, b: { part: 0 } });
    earl.expect(await ask(fleet, nodes.get("a"), 1)).toEqual("2001 250");
  });

  test.it(
    "grants a VM that is cut off no more than its part, and refuses larger requests with 503",
    async () => {
      const [fleet, nodes] = await startFleet({ a: { part: 0.1 } });
      earl.expect(await ask(fleet, nodes.get("a"), 11)).toEqual("2001 250");
      earl.expect(await ask(fleet, nodes.get("a"), 10)).toEqual("granted");
    },
  );

  test.it("charges by the newer configuration of the two", async () => {
    const lowered = { ...QUOTA, perSecond: 10, burst: 10 };
    const changes = { version: 2, quota: lowered };
    const [fleet, nodes] = await startFleet({ a: changes, b: changes, c: changes, d: {} });
    earl.expect(await ask(fleet, nodes.get("d"), 51)).toEqual("2007 never");
    earl.expect(await ask(fleet, nodes.get("d"), 50)).toEqual("granted");
  });
});

test.describe("QuotaServing", () => {
  const call = { team: { name: "t", quota: QUOTA }, head: { statedTokens: 40 }, signal };

  async function serve(error: Error | undefined, served: object): Promise<readonly string[]> {
    const events: string[] = [];
    const handler = new quotaServing.QuotaServing({
      log: { write: (event) => events.push(event.message) },
      metrics: inertMetrics.createInertMetrics(),
      quotas: {
        reserve: ({ team, cost }) => {
          events.push(`take ${team} ${cost}`);
          return Promise.resolve({ release: () => events.push("release") });
        },
      },
      handler: {
        serve: () => {
          events.push("serve");
          return error === undefined ? Promise.resolve() : Promise.reject(error);
        },
      },
    });
    await handler.serve(served as never).catch(() => undefined);
    return events;
  }

  test.it("charges a call before it is served", async () => {
    earl
      .expect(await serve(undefined, call))
      .toEqual(["take t 40", "serve", "request charged to its team"]);
  });

  test.it("returns what was charged for a call that did not run, and only for one", async () => {
    const refusal = new resultCodes.RequestError(RESULT_CODES.overloaded, RAN.no);
    const failure = new resultCodes.RequestError(RESULT_CODES.upstreamFailed, RAN.unknown);
    earl.expect(await serve(refusal, call)).toEqual(["take t 40", "serve", "release"]);
    earl.expect(await serve(failure, call)).toEqual(["take t 40", "serve"]);
  });

  test.it("does not charge calls without a team, and of teams without a quota", async () => {
    earl.expect(await serve(undefined, { ...call, team: undefined })).toEqual(["serve"]);
    earl.expect(await serve(undefined, { ...call, team: { name: "t" } })).toEqual(["serve"]);
  });
});
