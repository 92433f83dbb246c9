import * as test from "node:test";
import * as earl from "earl";
import type * as types from "../../src/upstream/types.js";
import * as plainService from "../../standins/plain-service.js";
import * as fixture from "./kernel-fixture.js";

interface ListeningService extends AsyncDisposable {
  readonly service: plainService.PlainService;
  readonly backend: types.Upstream;
}

async function startService(): Promise<ListeningService> {
  const service = new plainService.PlainService("booking");
  const server = await plainService.startPlainService(service, { host: "127.0.0.1", port: 0 });
  return {
    service,
    backend: { name: "booking-1", host: server.host, port: server.port },
    [Symbol.asyncDispose]: () => server[Symbol.asyncDispose](),
  };
}

function createRequest(changes: Partial<types.PlainRequest> = {}): types.PlainRequest {
  const headers = { "idempotency-key": "k1" };
  return { method: "POST", path: "/visits?a=b", headers, body: Buffer.from("ň"), ...changes };
}

function createSignal(): AbortSignal {
  return AbortSignal.timeout(5_000);
}

test.describe("createServiceClient", () => {
  test.it("forwards method, path, idempotency key and body", async () => {
    await using kernel = fixture.createClientKernel();
    await using listening = await startService();
    const client = kernel.use("backends");
    const response = await client.send(listening.backend, createRequest(), createSignal());
    earl.expect(response.status).toEqual(200);
    const answer = JSON.parse(Buffer.from(response.body).toString()) as Record<string, unknown>;
    earl.expect([answer.method, answer.path, answer.body]).toEqual(["POST", "/visits?a=b", "ň"]);
    earl.expect(listening.service.getReport().executions).toEqual({ k1: 1 });
  });

  test.it("removes hop-by-hop headers in both directions", async () => {
    await using kernel = fixture.createClientKernel();
    let sent = "";
    await using server = await fixture.startRawServer((socket) => {
      socket.once("data", (bytes) => {
        sent = bytes.toString();
        socket.end(
          "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nX-A: 1\r\nConnection: close\r\n\r\n",
        );
      });
    });
    const headers = { connection: "x-private", "x-private": "1", te: "trailers", "x-kept": "2" };
    const request = createRequest({ headers });
    const response = await kernel.use("backends").send(server.upstream, request, createSignal());
    earl.expect(sent).toMatchRegex(/x-kept: 2/);
    earl.expect(sent).not.toMatchRegex(/x-private|te: trailers/);
    earl.expect(response.headers).toEqual({ "x-a": "1" });
  });

  // Guards against an earlier answer that a service writes once more when the next call arrives.
  test.it("takes no earlier answer, as each call has a connection of its own", async () => {
    await using kernel = fixture.createClientKernel();
    let connections = 0;
    await using server = await fixture.startRawServer((socket) => {
      connections += 1;
      let answers = "";
      socket.on("data", (bytes) => {
        const id = /idempotency-key: (\S+)/i.exec(bytes.toString())?.[1] ?? "";
        answers += `HTTP/1.1 200 OK\r\nX-Of: ${id}\r\nContent-Length: 0\r\n\r\n`;
        socket.write(answers);
      });
    });
    const client = kernel.use("backends");
    const calls = ["k1", "k2", "k3"];
    for (const key of calls) {
      const request = createRequest({ headers: { "idempotency-key": key } });
      const { headers } = await client.send(server.upstream, request, createSignal());
      earl.expect(headers["x-of"]).toEqual(key);
    }
    earl.expect(connections).toEqual(calls.length);
  });

  test.it("reports broken when the call has run and its response is lost", async () => {
    await using kernel = fixture.createClientKernel();
    await using listening = await startService();
    listening.service.setFaults({ dropReply: true });
    const response = kernel
      .use("backends")
      .send(listening.backend, createRequest(), createSignal());
    earl.expect(await fixture.getFailure(response)).toEqual("broken");
    earl.expect(listening.service.getReport().executions).toEqual({ k1: 1 });
  });

  test.it("reports not-connected when nothing listens", async () => {
    await using kernel = fixture.createClientKernel();
    const unreachable = await fixture.createUnreachableUpstream();
    const response = kernel.use("backends").send(unreachable, createRequest(), createSignal());
    earl.expect(await fixture.getFailure(response)).toEqual("not-connected");
  });

  test.it("reports broken when its signal aborts while the backend does not respond", async () => {
    await using kernel = fixture.createClientKernel();
    await using listening = await startService();
    listening.service.setFaults({ silent: true });
    const signal = AbortSignal.timeout(100);
    const response = kernel.use("backends").send(listening.backend, createRequest(), signal);
    earl.expect(await fixture.getFailure(response)).toEqual("broken");
  });
});
