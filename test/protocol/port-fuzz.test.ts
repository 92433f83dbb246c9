import * as net from "node:net";
import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as zod from "zod";
import * as clocks from "../../src/kernel/clock.js";
import * as handshake from "../../src/protocol/handshake.js";
import * as messages from "../../src/protocol/message-codec.js";
import * as network from "../../src/protocol/network.js";
import * as tcpTransport from "../../src/protocol/tcp-transport.js";
import * as peers from "./peers.js";

const ECHO = network.createPeerCall(
  40,
  "echo",
  zod.object({ text: zod.string() }),
  zod.object({ text: zod.string() }),
);
const SETTINGS = { seed: 7, numRuns: 150 };
const KEYS = ["key-1"];

interface Target extends AsyncDisposable {
  readonly address: network.PeerAddress;
  /** Checks that a call from another authenticated peer succeeds. */
  checkServes(): Promise<void>;
}

async function startTarget(): Promise<Target> {
  const target = await peers.startTestPeer("vm-a", KEYS);
  const caller = await peers.startTestPeer("vm-b", KEYS);
  target.network.onCall(ECHO, (request) => request);
  caller.network.setAddress("vm-a", target.address);
  return {
    address: target.address,
    checkServes: async () => {
      const reply = await caller.network.call("vm-a", ECHO, { text: "x" }, { timeoutMs: 3000 });
      earl.expect(reply).toEqual({ text: "x" });
    },
    [Symbol.asyncDispose]: async () => {
      await caller[Symbol.asyncDispose]();
      await target[Symbol.asyncDispose]();
    },
  };
}

/** Sends bytes and closes the connection. */
function sendBytes(address: network.PeerAddress, bytes: Uint8Array): Promise<void> {
  return new Promise((resolve) => {
    const socket = net.connect(address.port, address.host, () => socket.end(bytes));
    socket.resume();
    socket.on("error", () => undefined);
    socket.on("close", () => {
      resolve();
    });
  });
}

/** Authenticates as a peer, sends messages, and closes the connection. */
async function sendAsPeer(address: network.PeerAddress, sent: messages.Message[]): Promise<void> {
  const clock = clocks.createSystemClock();
  const { signal } = new AbortController();
  await using channel = await tcpTransport.createTcpTransport().connect(address, signal);
  const endpoint = { channel, frames: channel.receive()[Symbol.asyncIterator]() };
  const self = { vm: "vm-fuzz", incarnation: 1 };
  await handshake.runDialerHandshake(endpoint, { self, keys: KEYS, clock });
  for (const message of sent) channel.send(messages.encodeMessage(message));
}

test.describe("Peer port", () => {
  test.it("continues to serve after arbitrary bytes from an unauthenticated client", async () => {
    await using target = await startTarget();
    const bytes = fastCheck.uint8Array({ maxLength: 300 });
    await fastCheck.assert(
      fastCheck.asyncProperty(bytes, async (sent) => {
        await sendBytes(target.address, sent);
      }),
      SETTINGS,
    );
    await target.checkServes();
  });

  test.it("continues to serve after arbitrary messages from an authenticated peer", async () => {
    await using target = await startTarget();
    const message = fastCheck.record({
      type: fastCheck.nat({ max: 20 }),
      correlation: fastCheck.nat({ max: 3 }),
      kind: fastCheck.constantFrom(0, 40, 41),
      fields: fastCheck.oneof(fastCheck.anything(), fastCheck.array(fastCheck.string())),
    });
    await fastCheck.assert(
      fastCheck.asyncProperty(fastCheck.array(message, { maxLength: 10 }), async (sent) => {
        await sendAsPeer(target.address, sent.filter(isEncodable));
      }),
      SETTINGS,
    );
    await target.checkServes();
  });
});

function isEncodable(message: messages.Message): boolean {
  try {
    messages.encodeMessage(message);
    return true;
  } catch {
    return false;
  }
}
