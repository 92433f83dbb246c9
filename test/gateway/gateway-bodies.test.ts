import * as events from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as earl from "earl";
import * as raw from "../runners/raw-runner.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as fixture from "./gateway-fixture.js";

/**
 * Size of a body that exceeds the socket buffers, so that sending blocks until the receiver reads.
 */
const LONG_BODY_BYTES = 6_000_000;
const READ_PAUSE_MS = 300;

/** Starts a runner that responds as soon as the request head arrives and reads the body later. */
async function startEarlyRunner() {
  const received: string[] = [];
  const server = net.createServer((socket) => {
    const index = received.push("") - 1;
    socket.on("error", () => undefined);
    socket.on("data", (bytes: Buffer) => {
      const isHead = bytes.includes("POST /book/");
      received[index] = `${received[index] ?? ""}${bytes.toString("latin1")}`;
      if (!isHead) return;
      const id = /request-id: (\w+)/i.exec(bytes.toString("latin1"))?.[1] ?? "";
      socket.write(raw.formatResponse(id, "booked"));
      socket.pause();
      setTimeout(() => socket.resume(), READ_PAUSE_MS);
    });
  });
  server.listen(0, "127.0.0.1");
  await events.default.once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  return { received, address: `127.0.0.1:${port}`, close: () => server.close() };
}

function createConfigurationWithLargeBodyLimit(): Record<string, unknown> {
  const configuration = examples.createConfiguration(7);
  const limits = configuration.limits as Record<string, unknown>;
  return { ...configuration, limits: { ...limits, max_body_bytes: 2 * LONG_BODY_BYTES } };
}

function sendBody(ip: string, id: string, body: readonly Buffer[], isChunked: boolean) {
  const length = body.reduce((sum, part) => sum + part.byteLength, 0);
  const framing = isChunked ? { "transfer-encoding": "chunked" } : { "content-length": length };
  const headers = { host: "api.example", "request-id": id, "deadline-ms": "5000", ...framing };
  const { front: port } = examples.PORTS;
  const options = { host: ip, port, method: "POST", path: "/book/x", headers, agent: false };
  return new Promise<string>((resolve, reject) => {
    const request = http.request(options, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("end", () => {
        resolve(`${response.statusCode ?? 0} ${Buffer.concat(chunks).toString()}`);
      });
    });
    request.on("error", reject);
    for (const part of body) request.write(part);
    request.end();
  });
}

test.describe("request bodies", () => {
  // Guards against request smuggling: the body contains bytes that look like a final chunk and another
  // request.
  test.it(
    "are forwarded with a content-length and the same bytes when received chunked",
    async () => {
      await using testPlatform = await fixture.startPlatform({});
      await using plain = await raw.startRawRunner("p", (socket) => {
        socket.write(raw.formatResponse("r1", "booked"));
      });
      const { host, port } = plain.runner;
      testPlatform.platform.set("servers/p", examples.createRunnerEntry(`${host}:${port}`));
      await using gateway = await fixture.startGateway(testPlatform.platform, 91, 1);
      await fixture.waitForReady(gateway.ip);
      const parts = [Buffer.from("one\r\n"), Buffer.from("0\r\n\r\nGET / HTTP/1.1\r\n\r\n")];
      earl.expect(await sendBody(gateway.ip, "r1", parts, true)).toEqual("200 booked");
      const [request = ""] = plain.requests;
      earl.expect(request.endsWith("\r\n\r\none\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n")).toEqual(true);
      earl.expect(/content-length: 28/i.test(request)).toEqual(true);
    },
  );

  // Guards against reusing a connection after an early response: the next request would be sent in the
  // middle of the body.
  test.it(
    "are sent completely, with no bytes of another request in between, when the response arrives early",
    async () => {
      const early = await startEarlyRunner();
      await using testPlatform = await fixture.startPlatform({});
      testPlatform.platform.set("op/config", createConfigurationWithLargeBodyLimit());
      testPlatform.platform.set("servers/p", examples.createRunnerEntry(early.address));
      await using gateway = await fixture.startGateway(testPlatform.platform, 92, 1);
      await fixture.waitForReady(gateway.ip);
      const long = Buffer.alloc(LONG_BODY_BYTES, "b");
      const answers = [
        await sendBody(gateway.ip, "r1", [long], false),
        await sendBody(gateway.ip, "r2", [Buffer.from("short")], false),
      ];
      earl.expect(answers).toEqual(["200 booked", "200 booked"]);
      const countBytes = (): number => early.received.reduce((sum, text) => sum + text.length, 0);
      await fixture.waitFor(
        "the rest of the long body arrives",
        () => countBytes() > LONG_BODY_BYTES,
      );
      const first = early.received.find((text) => text.includes("request-id: r1")) ?? "";
      const rest = first.slice(first.indexOf("\r\n\r\n") + 4);
      earl.expect(/^b+$/.test(rest.slice(0, LONG_BODY_BYTES))).toEqual(true);
      earl.expect(rest.slice(0, LONG_BODY_BYTES).length).toEqual(LONG_BODY_BYTES);
      early.close();
    },
  );
});
