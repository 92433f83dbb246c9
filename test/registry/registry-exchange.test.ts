/** A snapshot that is on its way while newer changes arrive brings back what they removed, and removes what they added. */
import * as test from "node:test";
import * as earl from "earl";
import type * as membership from "../../src/membership/types.js";
import * as network from "../../src/protocol/network.js";
import * as registryExchange from "../../src/registry/registry-exchange.js";
import * as registryView from "../../src/registry/registry-view.js";
import type * as types from "../../src/registry/types.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as clocks from "../../src/kernel/clock.js";
import * as snapshotTransfer from "../../src/registry/snapshot-transfer.js";

const item = (key: string, revision: number) => ({ key, revision, value: `v${revision}` });

type Snapshot = types.RegistrySnapshot<string> & { readonly newestRevision: number };

/** Pulls a snapshot into a view that `change` changes while the snapshot is on its way; returns the keys left. */
async function pullDuring(
  snapshot: Snapshot,
  change: (view: registryView.RegistryView<string>) => void,
): Promise<readonly string[]> {
  const clock = fakeClock.createFakeClock();
  const view = new registryView.RegistryView<string>(clock);
  view.applySnapshot({ revision: 10, items: [item("kept", 5), item("leaving", 6)] });
  const peers = {
    createPeerCall: () => ({}),
    onCall: () => undefined,
    onStream: () => undefined,
    // A peer of an earlier build sends the snapshot in one message.
    stream: () => {
      throw new network.PeerCallError(network.CALL_FAILURE.failed, "no handler");
    },
    call: async () => {
      await Promise.resolve();
      change(view);
      return snapshot;
    },
  };
  const exchange = new registryExchange.RegistryExchange({
    ...{ name: "runners", callKind: 31, streamKind: 36, view, clock },
    log: { write: () => undefined },
    network: peers as unknown as network.PeerNetwork,
    membership: { onGossip: () => undefined } as unknown as membership.Membership,
  });
  earl.expect(await exchange.pull("vm-2")).toEqual(true);
  return view.list().map(({ key }) => key);
}

test.describe("RegistryExchange", () => {
  const older = { revision: 12, newestRevision: 12, items: [item("kept", 12), item("leaving", 6)] };

  test.it("does not bring back what a reader pushed as removed meanwhile", async () => {
    const keys = await pullDuring(older, (view) => {
      view.removeItem("leaving", 20);
      view.setNewestRevision(20);
    });
    earl.expect(keys).toEqual(["kept"]);
  });

  test.it("does not remove what a reader pushed as added meanwhile", async () => {
    const keys = await pullDuring(older, (view) => {
      const changes = [{ removed: false as const, item: item("added", 20) }];
      view.applyChanges({ revision: view.revision, changes });
    });
    earl.expect(keys).toEqual(["kept", "leaving", "added"]);
  });

  test.it("takes a snapshot that knows as new a change", async () => {
    const keys = await pullDuring({ ...older, newestRevision: 20 }, (view) => {
      view.removeItem("kept", 20);
      view.setNewestRevision(20);
    });
    earl.expect([...keys].sort()).toEqual(["kept", "leaving"]);
  });

  // A reader whose own reads failed dropped all that VMs knew whose revision was lower, though they had newer changes.
  test.it("takes what is newer from a peer that reflects an older revision", async () => {
    const items = [item("kept", 12), item("gone", 9), item("leaving", 6)];
    const snapshot = { revision: 8, newestRevision: 12, items };
    earl
      .expect([...(await pullDuring(snapshot, () => undefined))].sort())
      .toEqual(["kept", "leaving"]);
    const keys = await pullDuring({ ...snapshot, items: [item("added", 12)] }, () => undefined);
    earl.expect([...keys].sort()).toEqual(["added", "kept", "leaving"]);
  });

  // A VM that took one newer item counted as knowing all up to it, and kept what had been removed before.
  test.it("does not count as knowing what such a peer lacks", async () => {
    const views: registryView.RegistryView<string>[] = [];
    const snapshot = { revision: 8, newestRevision: 12, items: [item("added", 12)] };
    await pullDuring(snapshot, (view) => views.push(view));
    earl.expect(views[0]?.newestRevision).toEqual(6);
  });
});

test.describe("RegistryExchange that cannot pull what a peer told of", () => {
  // Nothing told a VM that lacks a change from one that has all, so that it refused for good what the change brings.
  test.it("is outdated until it has the change, or for 10 s", async () => {
    const clock = fakeClock.createFakeClock();
    const view = new registryView.RegistryView<string>(clock);
    view.applySnapshot({ revision: 10, items: [item("kept", 5)] });
    const exchange = new registryExchange.RegistryExchange({
      ...{ name: "runners", callKind: 31, streamKind: 36, view, clock },
      log: { write: () => undefined },
      network: {
        onCall: () => undefined,
        onStream: () => undefined,
        stream: () => {
          throw new network.PeerCallError(network.CALL_FAILURE.notSent, "no connection");
        },
      } as unknown as network.PeerNetwork,
      membership: { onGossip: () => undefined } as unknown as membership.Membership,
    });
    exchange.handlePosition({ epoch: 0, revision: 5 }, "vm-2");
    earl.expect(exchange.isOutdated).toEqual(false);
    exchange.handlePosition({ epoch: 0, revision: 20 }, "vm-2");
    earl.expect(exchange.isOutdated).toEqual(true);
    await clock.advance(9_000);
    exchange.handlePosition({ epoch: 0, revision: 20 }, "vm-3");
    earl.expect(exchange.isOutdated).toEqual(true);
    await clock.advance(1_100);
    earl.expect(exchange.isOutdated).toEqual(false);
    exchange.handlePosition({ epoch: 0, revision: 30 }, "vm-2");
    earl.expect(exchange.isOutdated).toEqual(true);
    const changes = [{ removed: false as const, item: item("kept", 30) }];
    view.applyChanges({ revision: 30, changes });
    earl.expect(exchange.isOutdated).toEqual(false);
  });
});

/** An exchange whose streamed pulls take the given times, the last one for all further ones, and fail or bring revision 20. */
function createTimedExchange(pullsMs: readonly number[], failures: number) {
  const clock = fakeClock.createFakeClock();
  const view = new registryView.RegistryView<string>(clock);
  view.applySnapshot({ revision: 10, items: [item("kept", 5)] });
  const seen = { pulls: 0, failedTries: 0 };
  const senderView = new registryView.RegistryView<string>(clock);
  senderView.applySnapshot({ revision: 20, items: [item("kept", 20)] });
  const sender = new snapshotTransfer.SnapshotSender(clock, senderView);
  const stream = async function* () {
    seen.pulls += 1;
    const { pulls } = seen;
    await clocks.sleep(clock, pullsMs[Math.min(pulls, pullsMs.length) - 1] ?? 0);
    if (pulls <= failures)
      throw new network.PeerCallError(network.CALL_FAILURE.noReply, "no part in time");
    yield* sender.streamParts({ offset: 0 });
  };
  const exchange = new registryExchange.RegistryExchange({
    ...{ name: "runners", callKind: 31, streamKind: 36, view, clock },
    log: { write: () => undefined },
    network: {
      onCall: () => undefined,
      onStream: () => undefined,
      stream,
    } as unknown as network.PeerNetwork,
    membership: { onGossip: () => undefined } as unknown as membership.Membership,
    onFailedTry: () => {
      seen.failedTries += 1;
    },
  });
  return { clock, view, exchange, seen };
}

test.describe("RegistryExchange on a full processor", () => {
  // Each late first try made a VM read and decode the whole registry of the platform, which made the machine fuller.
  test.it(
    "reports a first try that failed in time, not one that this VM noticed late",
    async () => {
      for (const [tryMs, reported] of [
        [400, 1],
        [700, 0],
      ] as const) {
        const { clock, exchange, seen } = createTimedExchange([tryMs, 50], 1);
        const pulled = exchange.pull("vm-2");
        await clock.advance(1_000);
        earl.expect(await pulled).toEqual(true);
        earl.expect(seen).toEqual({ pulls: 2, failedTries: reported });
      }
    },
  );

  test.it("reports a pull whose second try fails too", async () => {
    const { clock, exchange, seen } = createTimedExchange([700], 2);
    const pulled = exchange.pull("vm-2");
    await clock.advance(2_000);
    earl.expect(await pulled).toEqual(false);
    earl.expect(seen.failedTries).toEqual(1);
  });

  // After an announcement VMs pulled the same change twice, side by side.
  test.it("does not pull what a pull in progress brings", async () => {
    const { clock, exchange, seen, view } = createTimedExchange([300], 0);
    exchange.handlePosition({ epoch: 0, revision: 20 }, "vm-2");
    const pulled = exchange.pull("vm-3");
    await clock.advance(1_000);
    await pulled;
    earl.expect(view.newestRevision).toEqual(20);
    earl.expect(seen.pulls).toEqual(1);
  });
});
