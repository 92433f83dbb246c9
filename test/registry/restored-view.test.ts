/**
 * A copy from which the platform is restored shows an earlier state: an older configuration, runners that have left since as
 * ready, and none of what joined. Taken as it is, it would bring all of that back.
 */
import * as test from "node:test";
import * as earl from "earl";
import type * as membership from "../../src/membership/types.js";
import * as network from "../../src/protocol/network.js";
import * as registryExchange from "../../src/registry/registry-exchange.js";
import * as registryView from "../../src/registry/registry-view.js";
import * as restorePolicies from "../../src/registry/restore-policies.js";
import * as types from "../../src/registry/types.js";
import type * as routing from "../../src/routing/types.js";
import type * as runners from "../../src/runners/types.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as routingFixture from "../routing/routing-fixture.js";

const HOLD_MS = 10_000;

function createRunner(changes: Partial<runners.Runner> = {}): runners.Runner {
  const address = { host: "10.0.0.1", port: 80, zone: "a" };
  const state = { slots: 4, leaving: false, stage: undefined, bornAt: 100 };
  const models = { softwareVersion: "v1", models: [] };
  return { id: "r", service: "plain", ...address, ...state, ...models, ...changes };
}

function createRunnersView() {
  const clock = fakeClock.createFakeClock();
  const view = new registryView.RegistryView<runners.Runner>(
    clock,
    restorePolicies.RUNNER_RESTORE_POLICY,
  );
  return { clock, view };
}

const item = (revision: number, value: runners.Runner, key = "r") => ({ key, revision, value });

function findRunner(view: registryView.RegistryView<runners.Runner>, key = "r") {
  return view.list().find((listed) => listed.key === key)?.value;
}

test.describe("RegistryView whose platform was restored from a copy", () => {
  test.it("takes changes of lower revisions", () => {
    const { view } = createRunnersView();
    view.applySnapshot({ epoch: 1, revision: 90, items: [item(80, createRunner({ slots: 8 }))] });
    view.applySnapshot({ epoch: 2, revision: 50, items: [item(40, createRunner())] });
    const changes = [{ removed: false as const, item: item(51, createRunner({ slots: 16 })) }];
    view.applyChanges({ epoch: 2, revision: 51, changes });
    earl.expect(findRunner(view)?.slots).toEqual(16);
    earl.expect([view.epoch, view.revision, view.newestRevision]).toEqual([2, 51, 51]);
  });

  test.it("takes nothing of an older epoch, of a peer or of the platform", () => {
    const { view } = createRunnersView();
    view.applySnapshot({ epoch: 2, revision: 50, items: [item(40, createRunner())] });
    const older = { epoch: 1, revision: 90, items: [] };
    earl.expect(view.applySnapshot(older)).toEqual(false);
    earl.expect(view.applySnapshot(older, types.CHANGE_PATH.pull)).toEqual(false);
    // VMs of earlier builds name no epoch.
    const unnamed = { revision: 90, items: [] };
    earl.expect(view.applySnapshot(unnamed, types.CHANGE_PATH.pull)).toEqual(false);
    earl.expect(view.has("r")).toEqual(true);
  });

  test.it("counts on in a newer epoch, so that fencing tokens do not go back", () => {
    const { view } = createRunnersView();
    view.applySnapshot({ revision: 90, items: [item(80, createRunner())] });
    view.applySnapshot({ rewinds: 2, revision: 50, items: [item(40, createRunner())] });
    earl.expect(view.applySnapshot({ rewinds: 1, revision: 95, items: [] })).toEqual(false);
    view.applySnapshot({ epoch: 1, revision: 40, items: [item(40, createRunner())] });
    earl.expect([view.epoch, view.rewinds, view.revision]).toEqual([1, 2, 40]);
  });

  test.it("keeps the configuration of the highest version until a higher one is written", () => {
    const view = new registryView.RegistryView<routing.RoutingTable>(
      fakeClock.createFakeClock(),
      restorePolicies.CONFIGURATION_RESTORE_POLICY,
    );
    const table = (version: number) => routingFixture.createTable(version, []);
    const listVersions = () => view.list().map(({ value }) => value?.version);
    const key = "configuration";
    view.applySnapshot({ epoch: 1, revision: 9, items: [{ key, revision: 9, value: table(7) }] });
    view.applySnapshot({ epoch: 2, revision: 5, items: [{ key, revision: 5, value: table(4) }] });
    earl.expect(listVersions()).toEqual([7]);
    const written = { key, revision: 6, value: table(10) };
    view.applyChanges({ epoch: 2, revision: 6, changes: [{ removed: false, item: written }] });
    earl.expect(listVersions()).toEqual([10]);
  });

  test.it("keeps a runner that was leaving as leaving, until it starts again", () => {
    const { view } = createRunnersView();
    view.applySnapshot({
      epoch: 1,
      revision: 9,
      items: [item(9, createRunner({ leaving: true }))],
    });
    view.applySnapshot({ epoch: 2, revision: 5, items: [item(4, createRunner())] });
    earl.expect(findRunner(view)?.leaving).toEqual(true);
    const reborn = item(6, createRunner({ bornAt: 200 }));
    view.applyChanges({ epoch: 2, revision: 6, changes: [{ removed: false, item: reborn }] });
    earl.expect(findRunner(view)?.leaving).toEqual(false);
  });

  test.it("keeps the later start of a runner where the copy lists the earlier one", () => {
    const { view } = createRunnersView();
    view.applySnapshot({ epoch: 1, revision: 9, items: [item(9, createRunner({ bornAt: 200 }))] });
    view.applySnapshot({ epoch: 2, revision: 5, items: [item(4, createRunner({ bornAt: 100 }))] });
    earl.expect(findRunner(view)?.bornAt).toEqual(200);
  });

  for (const rewritten of [false, true])
    test.it(
      `does not use a runner that had gone${rewritten ? ", until it writes again" : ""}`,
      async () => {
        const { clock, view } = createRunnersView();
        view.applySnapshot({ epoch: 1, revision: 9, items: [item(8, createRunner())] });
        view.applySnapshot({ epoch: 1, revision: 10, items: [] });
        const restored = { epoch: 2, revision: 5, items: [item(4, createRunner())] };
        view.applySnapshot(restored);
        view.applySnapshot(restored);
        earl.expect(view.has("r")).toEqual(false);
        const written = { removed: false as const, item: item(6, createRunner()) };
        if (rewritten) view.applyChanges({ epoch: 2, revision: 6, changes: [written] });
        earl.expect(view.has("r")).toEqual(rewritten);
        // An entry that is still listed after that time is that of a live runner.
        await clock.advance(HOLD_MS);
        view.removeExpired();
        earl.expect(view.has("r")).toEqual(true);
      },
    );

  test.it("forgets an entry of a runner that had gone once the platform removes it", async () => {
    const { clock, view } = createRunnersView();
    view.applySnapshot({ epoch: 1, revision: 9, items: [item(8, createRunner())] });
    view.applySnapshot({ epoch: 1, revision: 10, items: [] });
    view.applySnapshot({ epoch: 2, revision: 5, items: [item(4, createRunner())] });
    const removal = { removed: true as const, key: "r", revision: 6 };
    view.applyChanges({ epoch: 2, revision: 6, changes: [removal] });
    await clock.advance(HOLD_MS);
    view.removeExpired();
    earl.expect(view.has("r")).toEqual(false);
  });

  test.it(
    "keeps a runner that the copy lacks for the grace period, or for good if it writes",
    async () => {
      const { clock, view } = createRunnersView();
      const items = [item(8, createRunner(), "gone"), item(9, createRunner(), "back")];
      view.applySnapshot({ epoch: 1, revision: 9, items });
      view.applySnapshot({ epoch: 2, revision: 5, items: [] });
      await clock.advance(1_000);
      view.removeExpired();
      earl.expect([view.has("gone"), view.has("back")]).toEqual([true, true]);
      const back = item(6, createRunner(), "back");
      view.applyChanges({ epoch: 2, revision: 6, changes: [{ removed: false, item: back }] });
      await clock.advance(1_500);
      view.removeExpired();
      earl.expect([view.has("gone"), view.has("back")]).toEqual([false, true]);
    },
  );
});

type Handler = (payload: unknown, from: { readonly vm: string }) => void;

/** Creates an exchange whose peer sends a snapshot in one message, and the gossip topics that it registered. */
function createExchange(view: registryView.RegistryView<runners.Runner>, snapshot: unknown) {
  const clock = fakeClock.createFakeClock();
  const topics = new Map<string, Handler>();
  const pulled: string[] = [];
  const peers = {
    onCall: () => undefined,
    onStream: () => undefined,
    stream: () => {
      throw new network.PeerCallError(network.CALL_FAILURE.failed, "no handler");
    },
    call: (vm: string) => {
      pulled.push(vm);
      return Promise.resolve(snapshot);
    },
  };
  const exchange = new registryExchange.RegistryExchange({
    ...{ name: "runners", callKind: 31, streamKind: 36, view, clock },
    log: { write: () => undefined },
    network: peers as unknown as network.PeerNetwork,
    membership: {
      onGossip: (topic: string, { onReceive }: { onReceive: Handler }) =>
        topics.set(topic, onReceive),
    } as unknown as membership.Membership,
  });
  const receive = async (topic: string, payload: unknown): Promise<void> => {
    topics.get(topic)?.(payload, { vm: "vm-2" });
    await clock.advance(1_000);
  };
  return { exchange, pulled, receive };
}

test.describe("RegistryExchange with VMs that did not notice the restore", () => {
  test.it("takes nothing from a VM of an earlier build, which names no epoch", async () => {
    const { view } = createRunnersView();
    view.applySnapshot({ epoch: 2, revision: 50, items: [item(40, createRunner())] });
    const { exchange, pulled, receive } = createExchange(view, { revision: 90, items: [] });
    await receive("runners", 90);
    earl.expect(pulled).toEqual([]);
    await exchange.pull("vm-2");
    earl.expect(view.has("r")).toEqual(true);
  });

  test.it(
    "pulls from a VM that counted more returns, and not from one that counted fewer",
    async () => {
      const { view } = createRunnersView();
      view.applySnapshot({ rewinds: 2, revision: 50, items: [item(40, createRunner())] });
      const snapshot = { epoch: 0, rewinds: 3, revision: 7, newestRevision: 6, items: [] };
      const { pulled, receive } = createExchange(view, snapshot);
      await receive("runners", 90);
      await receive("runners-epoch", { epoch: 0, rewinds: 1, revision: 90 });
      earl.expect(pulled).toEqual([]);
      await receive("runners-epoch", { epoch: 0, rewinds: 3, revision: 6 });
      earl.expect([view.rewinds, view.revision]).toEqual([3, 7]);
    },
  );

  test.it("pulls from a VM of a newer epoch, and not from one of an older", async () => {
    const { view } = createRunnersView();
    view.applySnapshot({ epoch: 2, revision: 50, items: [item(40, createRunner())] });
    const snapshot = { epoch: 3, revision: 7, newestRevision: 6, items: [] };
    const { pulled, receive } = createExchange(view, snapshot);
    await receive("runners-epoch", { epoch: 1, revision: 90 });
    earl.expect(pulled).toEqual([]);
    await receive("runners-epoch", { epoch: 3, revision: 6 });
    earl.expect([view.epoch, view.revision]).toEqual([3, 7]);
  });
});
