import * as test from "node:test";
import * as earl from "earl";
import * as zod from "zod";
import * as network from "../../src/protocol/network.js";
import * as fleets from "../membership/fleet.js";

const HANG = network.createPeerCall(40, "hang", zod.object({}), zod.object({}));
const ECHO = network.createPeerCall(41, "echo", zod.object({}), zod.object({}));
const LIMITS = { timeoutMs: 60_000 };
/** Three silent heartbeat periods of 500 ms, the current period, and a margin. */
const SILENCE_LIMIT_MS = 2500;

interface Outcome {
  failure: network.CallFailure | undefined;
}

/** Starts two nodes, which answer ECHO and never answer HANG. */
async function startPair(): Promise<fleets.TestFleet> {
  const fleet = new fleets.TestFleet();
  fleet.registerExtraServices = (kernel) => {
    kernel.use("network").onCall(HANG, () => new Promise<never>(() => undefined));
    kernel.use("network").onCall(ECHO, () => ({}));
  };
  await fleet.start(2);
  await fleet.waitUntil(() => fleet.isAliveCount(2), 10_000);
  return fleet;
}

/** Starts a call that is never answered. */
function startHanging(fleet: fleets.TestFleet): Outcome {
  const outcome: Outcome = { failure: undefined };
  const peers = fleet.getNode("vm-0").kernel.use("network");
  peers.call("vm-1", HANG, {}, LIMITS).catch((error: unknown) => {
    outcome.failure = (error as network.PeerCallError).failure;
  });
  return outcome;
}

/** Starts the network of vm-0 without membership, and returns that of a peer that can call it. */
async function startStrangers(fleet: fleets.TestFleet): Promise<network.PeerNetwork> {
  const server = fleet.createNonMemberPeer("vm-0");
  server.onCall(ECHO, () => ({}));
  await server.start();
  return fleet.createNonMemberPeer("vm-1");
}

test.describe("Peer connections under faults", () => {
  test.it("fails a pending call when the connection is silent, then reconnects", async () => {
    await using fleet = await startPair();
    const outcome = startHanging(fleet);
    await fleet.clock.advance(100);
    fleet.network.silence("vm-0", "vm-1");
    await fleet.waitUntil(() => outcome.failure !== undefined, SILENCE_LIMIT_MS);
    earl.expect(outcome.failure).toEqual(network.CALL_FAILURE.noReply);
    const echo = fleet.getNode("vm-0").kernel.use("network").call("vm-1", ECHO, {}, LIMITS);
    await fleet.clock.advance(100);
    earl.expect(await echo).toEqual({});
  });

  // Without heartbeats on idle connections, only an unanswered call shows that the connection is dead.
  test.it("gives up an idle connection that went silent after one unanswered call", async () => {
    await using fleet = await startPair();
    const peers = fleet.getNode("vm-0").kernel.use("network");
    const first = peers.call("vm-1", ECHO, {}, LIMITS);
    await fleet.clock.advance(100);
    earl.expect(await first).toEqual({});
    fleet.network.silence("vm-0", "vm-1");
    const lost = peers.call("vm-1", ECHO, {}, { timeoutMs: 300 }).catch(() => undefined);
    await fleet.clock.advance(400);
    await lost;
    const second = peers.call("vm-1", ECHO, {}, { timeoutMs: 300 });
    await fleet.clock.advance(400);
    earl.expect(await second).toEqual({});
  });

  test.it("sends nothing on an idle connection and closes it", async () => {
    const fleet = new fleets.TestFleet();
    const peers = await startStrangers(fleet);
    const echo = peers.call("vm-0", ECHO, {}, LIMITS);
    await fleet.clock.advance(100);
    earl.expect(await echo).toEqual({});
    const sentBefore = fleet.network.sentFrames;
    await fleet.clock.advance(4_000);
    earl.expect(fleet.network.sentFrames).toEqual(sentBefore);
    await fleet.clock.advance(2_000);
    earl.expect(fleet.network.countConnections("vm-0")).toEqual(0);
  });

  test.it("keeps a connection on which only heartbeats are sent", async () => {
    await using fleet = await startPair();
    const outcome = startHanging(fleet);
    await fleet.clock.advance(30_000);
    earl.expect(outcome.failure).toEqual(undefined);
  });

  test.it("reports notSent when the peer is unreachable", async () => {
    await using fleet = await startPair();
    fleet.network.reset("vm-0", "vm-1");
    fleet.network.cut("vm-0", "vm-1");
    await fleet.clock.advance(10);
    const outcome = startHanging(fleet);
    await fleet.waitUntil(() => outcome.failure !== undefined, 5000);
    earl.expect(outcome.failure).toEqual(network.CALL_FAILURE.notSent);
  });

  // After a pause of the local process, the time since the last message exceeds the limit although the
  // peer has sent its heartbeats. If silence were measured in time, the connection would be closed.
  test.it("does not mistake a pause of the local process for silence of the peer", async () => {
    await using fleet = await startPair();
    const outcome = startHanging(fleet);
    await fleet.clock.advance(100);
    fleet.getNode("vm-0").clock.pause();
    await fleet.clock.advance(1400);
    fleet.getNode("vm-0").clock.resume();
    await fleet.clock.advance(5000);
    earl.expect(outcome.failure).toEqual(undefined);
  });
});
