import * as events from "node:events";
import * as net from "node:net";
import * as test from "node:test";
import * as earl from "earl";
import * as relays from "../../standins/relay.js";

const POLL_MS = 20;
const MAX_WAIT_MS = 2_000;

function countSockets(): number {
  return process.getActiveResourcesInfo().filter((name) => name === "TCPSocketWrap").length;
}

test.describe("resetSocket", () => {
  // Node.js never closes a socket that is reset while its shutdown is pending, which leaks it.
  test.it("closes a socket whose shutdown is pending", async () => {
    const before = countSockets();
    const server = net.createServer((socket) => {
      socket.on("error", () => undefined);
      socket.resume();
    });
    server.listen(0, "127.0.0.1");
    await events.default.once(server, "listening");
    const socket = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
    socket.on("error", () => undefined);
    await events.default.once(socket, "connect");
    socket.end();
    relays.resetSocket(socket);
    server.close();
    const limitAt = performance.now() + MAX_WAIT_MS;
    while (countSockets() > before && performance.now() < limitAt) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    earl.expect(countSockets()).toEqual(before);
  });
});

test.describe("Relay", () => {
  // Guards against a connection that loses bytes and then goes on, which TCP never does.
  test.it("forwards nothing on a connection after it has dropped bytes", async () => {
    const received: string[] = [];
    const server = net.createServer((socket) => {
      socket.on("error", () => undefined);
      socket.on("data", (bytes) => received.push(bytes.toString()));
    });
    server.listen(0, "127.0.0.1");
    await events.default.once(server, "listening");
    await using relay = await relays.Relay.start((server.address() as net.AddressInfo).port);
    const socket = net.connect(relay.port, "127.0.0.1");
    await events.default.once(socket, "connect");
    const send = async (text: string): Promise<void> => {
      socket.write(text);
      await new Promise((resolve) => setTimeout(resolve, 5 * POLL_MS));
    };
    await send("before");
    relay.droppedDirection = relays.DIRECTION.far;
    await send("lost");
    relay.droppedDirection = undefined;
    await send("after");
    socket.destroy();
    server.close();
    earl.expect(received).toEqual(["before"]);
  });
});
