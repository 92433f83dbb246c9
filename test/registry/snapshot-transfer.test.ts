/**
 * A snapshot that had to arrive whole within a second, in one message, never arrived if it was large or the link was slow: what was
 * sent until then was lost, and the next pull started from the beginning.
 */
import * as test from "node:test";
import * as crypto from "node:crypto";
import * as earl from "earl";
import type * as network from "../../src/protocol/network.js";
import * as registryView from "../../src/registry/registry-view.js";
import type * as types from "../../src/registry/types.js";
import * as valueHistory from "../../src/registry/value-history.js";
import * as snapshotTransfer from "../../src/registry/snapshot-transfer.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as clocks from "../../src/kernel/clock.js";
import * as relayFleet from "./relay-fleet.js";

const TIMEOUT_MS = 1_000;
const CALL = snapshotTransfer.createSnapshotCall(35, "configuration");

/** Text that compression does not shorten much. */
function createText(bytes: number): string {
  return crypto
    .createHash("shake256", { outputLength: bytes / 2 })
    .update("text")
    .digest("hex");
}

/** A peer that sends a part in each period, and breaks off after some parts. */
function createPeer(clock: clocks.Clock, bytes: number, periodMs: number, partsPerTry: number) {
  const view = new registryView.RegistryView<string>(clock);
  const items = [{ key: "a", revision: 5, value: createText(bytes) }];
  view.applySnapshot({ epoch: 3, revision: 9, items });
  const sender = new snapshotTransfer.SnapshotSender(clock, view);
  const offsets: number[] = [];
  const stream = async function* (
    _vm: string,
    _call: unknown,
    request: { readonly offset: number },
    { signal }: network.CallOptions,
  ) {
    offsets.push(request.offset);
    let sent = 0;
    for await (const part of sender.streamParts(request)) {
      if (sent === partsPerTry) throw new Error("connection was lost");
      sent += 1;
      await clocks.sleep(clock, periodMs, signal);
      yield part;
    }
  };
  const peers = { stream } as unknown as Pick<network.PeerNetwork, "stream">;
  const receiver = new snapshotTransfer.SnapshotReceiver({ clock, peers, call: CALL });
  return { view, offsets, receiver };
}

test.describe("SnapshotReceiver", () => {
  test.it(
    "receives a snapshot of several MiB over a link that takes longer than the time limit",
    async () => {
      const clock = fakeClock.createFakeClock();
      const { view, receiver } = createPeer(clock, 3_000_000, 20, Infinity);
      const received = receiver.receive("vm-2", TIMEOUT_MS);
      await clock.advance(5_000);
      earl.expect(await received).toEqual({
        ...{ epoch: 3, revision: 9, newestRevision: 5 },
        items: [...view.list()],
      });
    },
  );

  test.it("continues where the last try stopped", async () => {
    const clock = fakeClock.createFakeClock();
    const { view, offsets, receiver } = createPeer(clock, 300_000, 1, 5);
    let snapshot: snapshotTransfer.PeerSnapshot | undefined;
    for (let number = 0; number < 10 && snapshot === undefined; number += 1) {
      const received = receiver.receive("vm-2", TIMEOUT_MS).catch(() => undefined);
      await clock.advance(100);
      snapshot = await received;
    }
    earl.expect(snapshot?.items).toEqual([...view.list()]);
    earl.expect(offsets.every((offset, index) => offset >= 5 * index * 16_384)).toEqual(true);
  });

  test.it("starts anew when the items have changed since the last try", async () => {
    const clock = fakeClock.createFakeClock();
    const { view, receiver } = createPeer(clock, 400_000, 1, 8);
    const first = receiver.receive("vm-2", TIMEOUT_MS).catch(() => undefined);
    await clock.advance(100);
    earl.expect(await first).toEqual(undefined);
    const changes = [{ removed: false as const, item: { key: "a", revision: 10, value: "short" } }];
    view.applyChanges({ epoch: 3, revision: 10, changes });
    const second = receiver.receive("vm-2", TIMEOUT_MS);
    await clock.advance(100);
    earl.expect((await second).items).toEqual([...view.list()]);
  });

  test.it("gives up when no part arrives within the time limit", async () => {
    const clock = fakeClock.createFakeClock();
    const { receiver } = createPeer(clock, 300_000, 60_000, 8);
    const received = receiver.receive("vm-2", TIMEOUT_MS).then(() => "received", String);
    await clock.advance(TIMEOUT_MS);
    earl.expect((await received) === "received").toEqual(false);
  });
});

test.describe("RegistryRelay whose snapshots do not fit a message", () => {
  const LARGE = createText(1_400_000);

  test.it("brings them to every VM within two seconds", async () => {
    await using relayed = await relayFleet.RelayFleet.start(24);
    relayed.registry.set("b", LARGE);
    const vms = [...relayed.views.keys()];
    earl.expect((await relayed.waitForValue("b", LARGE, vms)) <= 2_000).toEqual(true);
  });

  // The readers answered, so a VM whose pulls all failed counted as up to date and did not read the platform itself.
  test.it("lets VMs read the platform whose pulls fail", async () => {
    await using relayed = await relayFleet.RelayFleet.start(24);
    relayed.breaksPulls = true;
    for (const value of [LARGE, `${LARGE}!`]) {
      relayed.registry.set("b", value);
      const vms = [...relayed.views.keys()];
      earl.expect((await relayed.waitForValue("b", value, vms)) <= 2_000).toEqual(true);
    }
    // They rely on the readers again afterwards.
    await relayed.fleet.clock.advance(10_000);
    earl.expect(relayed.listFollowers().length).toEqual(18);
  });

  test.it("lets VMs read the platform whose readers are gone when it changes", async () => {
    await using relayed = await relayFleet.RelayFleet.start(24);
    const gone = relayed.listReaders();
    for (const vm of gone) relayed.fleet.pause(vm);
    await relayed.fleet.clock.advance(100);
    relayed.registry.set("b", "b1");
    const others = [...relayed.views.keys()].filter((vm) => !gone.includes(vm));
    earl.expect((await relayed.waitForValue("b", "b1", others)) <= 2_000).toEqual(true);
    for (const vm of gone) relayed.fleet.resume(vm);
  });
});

/** Differences between texts: what was appended. */
const TEXT_DELTAS: types.ValueDeltas<string> = {
  computeHash: (value) => value.length,
  createDelta: (base, value) => value.slice(base.length),
  applyDelta: (base, delta) => `${base}${String(delta)}`,
  isLarge: () => true,
  isLargeDelta: () => false,
};

/** A sender and a receiver with the same text, to which the sender's view has something appended. */
function createDifferencePair(receiverDeltas: types.ValueDeltas<string>) {
  const clock = fakeClock.createFakeClock();
  const text = createText(100_000);
  const createSide = (deltas: types.ValueDeltas<string>) => {
    const view = new registryView.RegistryView<string>(clock);
    const history = new valueHistory.ValueHistory(view, deltas);
    view.applySnapshot({ revision: 5, items: [{ key: "a", revision: 5, value: text }] });
    return { view, history };
  };
  const from = createSide(TEXT_DELTAS);
  const to = createSide(receiverDeltas);
  from.view.applySnapshot({
    revision: 9,
    items: [{ key: "a", revision: 9, value: `${text} and more` }],
  });
  const sender = new snapshotTransfer.SnapshotSender(clock, from.view, from.history);
  let bytes = 0;
  const stream = async function* (_vm: string, _call: unknown, request: { offset: number }) {
    for await (const part of sender.streamParts(request)) {
      bytes += part.bytes.byteLength;
      yield part;
    }
  };
  const peers = { stream } as unknown as Pick<network.PeerNetwork, "stream">;
  const receiver = new snapshotTransfer.SnapshotReceiver({ clock, peers, call: CALL, known: to });
  const receive = async (): Promise<readonly unknown[]> => {
    bytes = 0;
    const received = receiver.receive("vm-2", TIMEOUT_MS).catch(String);
    await clock.advance(1_000);
    const snapshot = await received;
    if (typeof snapshot === "string") return [snapshot];
    const { items } = snapshot;
    return [items[0]?.value === `${text} and more`, bytes < 1_000];
  };
  return { receive };
}

test.describe("SnapshotReceiver with an earlier value", () => {
  test.it("receives the difference to it", async () => {
    const { receive } = createDifferencePair(TEXT_DELTAS);
    earl.expect(await receive()).toEqual([true, true]);
  });

  // Otherwise each further try would fail in the same way, and the VM would keep its old value.
  test.it("receives the whole value after a difference that does not fit", async () => {
    const { receive } = createDifferencePair({
      ...TEXT_DELTAS,
      applyDelta: () => {
        throw new Error("does not fit");
      },
    });
    earl.expect(await receive()).toEqual(["Error: does not fit"]);
    earl.expect(await receive()).toEqual([true, false]);
  });

  test.it("receives the whole value if the sender has another base", async () => {
    const { receive } = createDifferencePair({ ...TEXT_DELTAS, computeHash: () => 1 });
    earl.expect(await receive()).toEqual([true, false]);
  });
});
