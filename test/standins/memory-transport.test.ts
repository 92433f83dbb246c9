import * as test from "node:test";
import * as earl from "earl";
import type * as network from "../../src/protocol/network.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as memoryTransport from "../../standins/memory-transport.js";

const ADDRESS = { host: "10.0.0.2", port: 7000 };

interface ConnectedPair {
  readonly clock: fakeClock.FakeClock;
  readonly net: memoryTransport.MemoryNetwork;
  readonly client: network.FrameChannel;
  readonly received: number[];
  readonly outcome: { text: string };
}

async function createPair(): Promise<ConnectedPair> {
  const clock = fakeClock.createFakeClock();
  const net = new memoryTransport.MemoryNetwork(clock);
  const received: number[] = [];
  const outcome = { text: "open" };
  await net.createTransport("b").listen(ADDRESS, (channel) => void readAll(channel));
  const pendingClient = net.createTransport("a").connect(ADDRESS, new AbortController().signal);
  await clock.advance(10);
  return { clock, net, client: await pendingClient, received, outcome };

  async function readAll(channel: network.FrameChannel): Promise<void> {
    try {
      for await (const frame of channel.receive()) received.push(frame[0] ?? -1);
      outcome.text = "ended";
    } catch (error) {
      outcome.text = (error as Error).message;
    }
  }
}

test.describe("MemoryNetwork", () => {
  test.it("delivers frames in order, then the end of the stream", async () => {
    const pair = await createPair();
    pair.client.send(Uint8Array.of(1));
    pair.client.send(Uint8Array.of(2));
    await pair.client[Symbol.asyncDispose]();
    await pair.clock.advance(5);
    earl.expect(pair.received).toEqual([1, 2]);
    earl.expect(pair.outcome.text).toEqual("ended");
  });

  test.it("suspends frames during a partition and delivers them after it", async () => {
    const pair = await createPair();
    pair.net.cut("a", "b");
    pair.client.send(Uint8Array.of(1));
    await pair.clock.advance(10_000);
    earl.expect(pair.received).toEqual([]);
    pair.net.heal("b", "a");
    await pair.clock.advance(5);
    earl.expect(pair.received).toEqual([1]);
  });

  test.it("suspends frames to a frozen node until it thaws", async () => {
    const pair = await createPair();
    pair.net.freeze("b");
    pair.client.send(Uint8Array.of(1));
    await pair.clock.advance(10_000);
    earl.expect(pair.received).toEqual([]);
    pair.net.thaw("b");
    await pair.clock.advance(5);
    earl.expect(pair.received).toEqual([1]);
  });

  test.it("drops frames on a silenced connection and delivers them on a new one", async () => {
    const pair = await createPair();
    pair.net.silence("a", "b");
    pair.client.send(Uint8Array.of(1));
    await pair.clock.advance(10_000);
    earl.expect(pair.received).toEqual([]);
    earl.expect(pair.outcome.text).toEqual("open");
    const pendingClient = pair.net
      .createTransport("a")
      .connect(ADDRESS, new AbortController().signal);
    await pair.clock.advance(5);
    (await pendingClient).send(Uint8Array.of(2));
    await pair.clock.advance(5);
    earl.expect(pair.received).toEqual([2]);
  });

  test.it("resets connections of a killed node and refuses new ones", async () => {
    const pair = await createPair();
    pair.net.kill("b");
    await pair.clock.settle();
    earl.expect(pair.outcome.text).toEqual("connection reset");
    const pendingClient = pair.net
      .createTransport("a")
      .connect(ADDRESS, new AbortController().signal);
    const failure = pendingClient.catch((error: unknown) => (error as Error).name);
    await pair.clock.advance(5);
    earl.expect(await failure).toEqual("ConnectionRefusedError");
  });
});
