import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as zod from "zod";
import * as fakeClock from "../../standins/fake-clock.js";
import * as memoryTransport from "../../standins/memory-transport.js";
import * as callHandlers from "../../src/protocol/call-handlers.js";
import * as codec from "../../src/protocol/datagram-codec.js";
import * as datagramCalls from "../../src/protocol/datagram-calls.js";
import * as network from "../../src/protocol/network.js";
import * as replayWindow from "../../src/protocol/replay-window.js";
import * as inertMetrics from "../telemetry/inert-metrics.js";

const ECHO = network.createPeerCall(
  41,
  "echo",
  zod.object({ text: zod.string() }),
  zod.object({ text: zod.string() }),
);
const KEYS = ["key-1"];
const LIMITS = { timeoutMs: 250 };

/** One end of the calls under test. */
interface End {
  readonly calls: datagramCalls.DatagramCalls;
  readonly requests: string[];
}

/** Nodes a and b, which answer ECHO with the text of the request, or with `replyText`. */
class Pair {
  readonly clock = fakeClock.createFakeClock();
  readonly network = new memoryTransport.MemoryNetwork(this.clock);
  readonly logged: Readonly<Record<string, unknown>>[] = [];
  replyText: string | undefined;

  async start(vm: "a" | "b", incarnation = 1, keys: readonly string[] = KEYS): Promise<End> {
    const handlers = new callHandlers.CallHandlers();
    const requests: string[] = [];
    handlers.addUnary(ECHO.kind, {
      codecs: callHandlers.useCallCodecs(ECHO),
      run: (request) => {
        const { text } = request as { text: string };
        requests.push(text);
        return Promise.resolve({ text: this.replyText ?? text });
      },
    });
    const calls = new datagramCalls.DatagramCalls({
      metrics: inertMetrics.createInertMetrics(),
      transport: this.network.createTransport(vm),
      credentials: { self: { vm, incarnation }, keys, clock: this.clock },
      handlers,
      clock: this.clock,
      log: { write: (_event, fields) => this.logged.push(fields ?? {}) },
      findAddress: createAddress,
    });
    calls.addKind(ECHO.kind);
    await calls.start(createAddress(vm));
    return { calls, requests };
  }

  /** Calls b from `end`; returns the text of the reply, or how the call failed. */
  async call(end: End, text: string, incarnation?: number): Promise<string> {
    const options = incarnation === undefined ? LIMITS : { ...LIMITS, incarnation };
    const reply = end.calls.call("b", ECHO, { text }, options).then(
      (answer) => answer.text,
      (error: unknown) => (error as network.PeerCallError).failure,
    );
    await this.clock.advance(300);
    return await reply;
  }
}

function createAddress(vm: string): network.PeerAddress {
  return { host: vm === "a" ? "10.0.0.1" : "10.0.0.2", port: 7001 };
}

function createRequest(sequence: number): Uint8Array {
  const { request: type } = codec.DATAGRAM_TYPE;
  const from = { vm: "a", incarnation: 1 };
  const datagram = { type, from, to: "b", sequence, kind: ECHO.kind, fields: ["x"] };
  return codec.encodeDatagram(datagram, KEYS);
}

test.describe("DatagramCalls", () => {
  test.it("returns the reply of a peer", async () => {
    const pair = new Pair();
    const a = await pair.start("a");
    await pair.start("b");
    earl.expect(await pair.call(a, "hello")).toEqual("hello");
  });

  test.it("fails with noReply when the datagram is lost", async () => {
    const pair = new Pair();
    const a = await pair.start("a");
    await pair.start("b");
    pair.network.datagrams.cut("a", "b");
    earl.expect(await pair.call(a, "hello")).toEqual(network.CALL_FAILURE.noReply);
  });

  test.it("fails with gone when another process replies", async () => {
    const pair = new Pair();
    const a = await pair.start("a");
    await pair.start("b", 2);
    earl.expect(await pair.call(a, "hello", 1)).toEqual(network.CALL_FAILURE.gone);
  });

  test.it("fails with notSent when the request or the reply exceeds a datagram", async () => {
    const pair = new Pair();
    const a = await pair.start("a");
    await pair.start("b");
    const long = "x".repeat(codec.MAX_DATAGRAM_BYTES);
    earl.expect(await pair.call(a, long)).toEqual(network.CALL_FAILURE.notSent);
    pair.replyText = long;
    earl.expect(await pair.call(a, "short")).toEqual(network.CALL_FAILURE.notSent);
  });

  test.it(
    "fails with notSent, not after a time limit, when the peer does not know the kind",
    async () => {
      const pair = new Pair();
      const a = await pair.start("a");
      await pair.start("b");
      const newer = network.createPeerCall(42, "newer", ECHO.request, ECHO.reply);
      const failing = a.calls.call("b", newer, { text: "x" }, { timeoutMs: 60_000 }).then(
        () => undefined,
        (error: unknown) => (error as network.PeerCallError).failure,
      );
      await pair.clock.advance(300);
      earl.expect(await failing).toEqual(network.CALL_FAILURE.notSent);
      earl.expect(await pair.call(a, "hello")).toEqual("hello");
    },
  );

  test.it("drops datagrams of a stranger, and logs them at a bounded rate", async () => {
    const pair = new Pair();
    const a = await pair.start("a", 1, ["other key"]);
    const b = await pair.start("b");
    for (let count = 0; count < 20; count += 1) await pair.call(a, "hello");
    earl.expect(b.requests).toEqual([]);
    earl.expect(b.calls.rejectedCount).toEqual(20);
    earl.expect(pair.logged.length).toEqual(1);
  });

  test.it("handles a replayed request once", async () => {
    const pair = new Pair();
    const b = await pair.start("b");
    const request = createRequest(7);
    for (let count = 0; count < 3; count += 1)
      pair.network.datagrams.publish(request, createAddress("b"));
    await pair.clock.advance(10);
    earl.expect(b.requests).toEqual(["x"]);
  });

  test.it("survives arbitrary bytes and flipped bits", async () => {
    const pair = new Pair();
    const b = await pair.start("b");
    const address = createAddress("b");
    const sound = createRequest(1);
    fastCheck.assert(
      fastCheck.property(fastCheck.uint8Array({ maxLength: 1_400 }), (bytes) => {
        pair.network.datagrams.publish(bytes, address);
      }),
      { seed: 1, numRuns: 500 },
    );
    fastCheck.assert(
      fastCheck.property(fastCheck.nat(sound.byteLength * 8 - 1), (bit) => {
        const broken = Uint8Array.from(sound);
        broken[bit >> 3] = (broken[bit >> 3] ?? 0) ^ (1 << (bit & 7));
        pair.network.datagrams.publish(broken, address);
      }),
      { seed: 1, numRuns: 500 },
    );
    await pair.clock.advance(10);
    earl.expect(b.requests).toEqual([]);
    earl.expect(b.calls.rejectedCount).toEqual(1_000);
  });
});

test.describe("ReplayWindow", () => {
  const sender = { vm: "a", incarnation: 5 };

  test.it("accepts each sequence number once, also out of order", () => {
    const window = new replayWindow.ReplayWindow();
    const order = [3, 1, 2, 3, 1, 40, 20, 20, 41];
    const accepted = order.map((sequence) => window.record(sender, sequence));
    earl.expect(accepted).toEqual([true, true, true, false, false, true, true, false, true]);
  });

  test.it("rejects numbers below the window and earlier processes", () => {
    const window = new replayWindow.ReplayWindow();
    window.record(sender, 100);
    earl.expect(window.record(sender, 68)).toEqual(false);
    earl.expect(window.record(sender, 69)).toEqual(true);
    earl.expect(window.record({ ...sender, incarnation: 4 }, 200)).toEqual(false);
    earl.expect(window.record({ ...sender, incarnation: 6 }, 1)).toEqual(true);
  });
});
