/**
 * Guards against calls that count as sent, and are answered 502, although their address cannot be one: the HTTP library throws
 * before there is any connection.
 */
import * as test from "node:test";
import * as earl from "earl";
import * as clocks from "../../src/kernel/clock.js";
import * as httpCall from "../../src/upstream/http-call.js";
import * as upstream from "../../src/upstream/types.js";
import * as fixture from "./kernel-fixture.js";

const ADDRESSES = [
  ["127.0.0.1", 0],
  ["127.0.0.1", 65_536],
  ["127.0.0.1", 99_999],
  ["127.0.0.1", -1],
  ["127.0.0.1", 1.5],
  ["127.0.0.1", Number.NaN],
  ["999.1.1.1", 80],
  ["127.0.1", 80],
  ["127.0.0.010", 80],
  ["127.0.0.1.1", 80],
  ["", 80],
  ["not a host", 80],
] as const;

function send(call: Partial<httpCall.HttpCall>): Promise<unknown> {
  return httpCall.sendCall(clocks.createSystemClock(), {
    upstream: { name: "one", host: "127.0.0.1", port: 1 },
    method: "POST",
    path: "/x",
    agent: false,
    headersTimeoutMs: 2_000,
    signal: new AbortController().signal,
    ...call,
  });
}

async function findFailure(sent: Promise<unknown>): Promise<string> {
  const error = await sent.then(
    () => "answered",
    (reason: unknown) => reason,
  );
  return error instanceof upstream.UpstreamError ? error.failure : String(error);
}

test.describe("a call that cannot be sent", () => {
  for (const [host, port] of ADDRESSES)
    test.it(`counts as not connected at ${host}:${port}`, async () => {
      const failure = await findFailure(send({ upstream: { name: "one", host, port } }));
      earl.expect(failure).toEqual(upstream.UPSTREAM_FAILURE.notConnected);
    });

  test.it("is not sent to the address that a URL makes of an invalid one", async () => {
    let count = 0;
    await using server = await fixture.startRawServer(() => {
      count += 1;
    });
    const { port } = server.upstream;
    for (const host of ["127.1", "127.0.1", "127.0.0.01", "2130706433", "0x7f000001"]) {
      const failure = await findFailure(send({ upstream: { name: "one", host, port } }));
      earl.expect([host, failure]).toEqual([host, upstream.UPSTREAM_FAILURE.notConnected]);
    }
    earl.expect(count).toEqual(0);
  });

  test.it("counts as not connected with a path or header that HTTP does not allow", async () => {
    for (const call of [{ path: "/a b" }, { headers: { "x-a": "1\r\nx-b: 2" } }])
      earl.expect(await findFailure(send(call))).toEqual(upstream.UPSTREAM_FAILURE.notConnected);
  });
});

test.describe("a call whose upstream answers 101 unasked", () => {
  // Node.js reports neither a response nor an error then, so that the call never ended, not even at its time limit.
  test.it("fails at once as broken", async () => {
    const head = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n";
    await using server = await fixture.startRawServer((socket) => {
      socket.once("data", () => socket.write(head));
    });
    const sentAt = performance.now();
    const failure = await findFailure(send({ upstream: server.upstream }));
    earl.expect(failure).toEqual(upstream.UPSTREAM_FAILURE.broken);
    earl.expect(performance.now() - sentAt < 1_000).toEqual(true);
  });
});
