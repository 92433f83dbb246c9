import * as events from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as earl from "earl";
import * as callerConnections from "../../src/gateway/caller-connections.js";

const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

async function connect(listener: http.Server): Promise<net.Socket> {
  const { port } = listener.address() as net.AddressInfo;
  const socket = net.connect(port, "127.0.0.1");
  socket.on("error", () => undefined);
  socket.resume();
  const accepted = events.default.once(listener, "connection");
  await events.default.once(socket, "connect");
  await accepted;
  return socket;
}

test.describe("the limit on connections of callers", () => {
  test.it("leaves descriptors for files, runners and other VMs", () => {
    earl.expect(callerConnections.computeMaxConnections(4_100)).toEqual(2_340);
    earl.expect(callerConnections.computeMaxConnections(100)).toEqual(1);
    earl.expect(callerConnections.computeMaxConnections(undefined)).toEqual(Infinity);
  });

  test.it(
    "closes the connection without progress for longest, and none that is being served",
    async () => {
      const listener = http.createServer();
      let evicted = 0;
      const connections = new callerConnections.CallerConnections(listener, {
        maxConnections: 3,
        onEvicted: () => {
          evicted += 1;
        },
      });
      listener.on("request", (request, response) => {
        connections.add(request, response, () => undefined);
      });
      listener.listen(0, "127.0.0.1");
      await events.default.once(listener, "listening");
      const served = await connect(listener);
      const requested = events.default.once(listener, "request");
      served.write(REQUEST);
      await requested;
      const oldest = await connect(listener);
      const newer = await connect(listener);
      const closed = events.default.once(oldest, "close");
      const last = await connect(listener);
      await closed;
      earl.expect(evicted).toEqual(1);
      earl
        .expect([served, newer, last].map(({ destroyed }) => destroyed))
        .toEqual([false, false, false]);
      for (const socket of [served, newer, last]) socket.destroy();
      listener.close();
      await events.default.once(listener, "close");
    },
  );
});
