import * as events from "node:events";
import * as net from "node:net";
import * as test from "node:test";
import * as earl from "earl";
import * as bufferBudget from "../../src/kernel/buffer-budget.js";
import * as pacedReader from "../../src/gateway/paced-reader.js";

const HEAD = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const BUDGET_BYTES = 1_048_576;

/** A listener that reads in paces, one connection to it, and what it received. */
class PacedConnection implements AsyncDisposable {
  readonly progress = { openCount: 0, requestCount: 0, isInBody: false };
  readonly budget = new bufferBudget.BufferBudget({ maxBytes: BUDGET_BYTES });
  readonly chunks: Buffer[] = [];
  hasEnded = false;
  exceeded = 0;
  readonly client = new net.Socket();
  /** Tells the pacer that a request was answered. */
  resume: () => void = () => undefined;
  readonly #server: net.Server;

  constructor(onChunk: (chunk: Buffer, connection: PacedConnection) => void = () => undefined) {
    const pacer = new pacedReader.ReadPacer({
      budget: this.budget,
      findProgress: () => this.progress,
      onExceeded: () => {
        this.exceeded += 1;
      },
    });
    this.#server = net.createServer({ allowHalfOpen: true }, (socket) => {
      pacer.add(socket);
      this.resume = () => {
        pacer.resume(socket);
      };
      socket.on("error", () => undefined);
      socket.on("data", (chunk: Buffer) => {
        this.chunks.push(chunk);
        onChunk(chunk, this);
      });
      socket.once("end", () => {
        this.hasEnded = true;
        socket.end();
      });
    });
    this.client.on("error", () => undefined);
  }

  get text(): string {
    return Buffer.concat(this.chunks).toString();
  }

  async open(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await events.default.once(this.#server, "listening");
    this.client.connect((this.#server.address() as net.AddressInfo).port, "127.0.0.1");
    await events.default.once(this.client, "connect");
  }

  async waitFor(holds: () => boolean): Promise<void> {
    const limitAt = performance.now() + 10_000;
    while (!holds()) {
      if (performance.now() > limitAt) throw new Error(`not met; ${this.text.length} bytes`);
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.client.destroy();
    this.#server.close();
    await events.default.once(this.#server, "close");
  }
}

test.describe("ReadPacer", () => {
  test.it("passes everything on in order, and the end after it", async () => {
    await using connection = new PacedConnection();
    connection.progress.isInBody = true;
    await connection.open();
    const text = Array.from({ length: 30_000 }, (_, index) => `line ${index}\n`).join("");
    connection.client.end(`${text}\r\n\r\n${"x".repeat(200_000)}`);
    await connection.waitFor(() => connection.hasEnded);
    earl.expect(connection.text).toEqual(`${text}\r\n\r\n${"x".repeat(200_000)}`);
  });

  test.it("passes a whole request on at once", async () => {
    await using connection = new PacedConnection();
    await connection.open();
    const request = `${HEAD}${"x".repeat(8_000)}`;
    connection.client.write(request);
    await connection.waitFor(() => connection.text.length === request.length);
    earl.expect(connection.chunks.length).toEqual(1);
  });

  test.it("passes requests that were sent together on one by one", async () => {
    await using connection = new PacedConnection();
    await connection.open();
    connection.client.write(HEAD.repeat(50));
    await connection.waitFor(() => connection.text.length === 50 * HEAD.length);
    earl.expect(connection.chunks.every((chunk) => chunk.toString() === HEAD)).toEqual(true);
  });

  test.it("waits while too many requests are in progress", async () => {
    await using connection = new PacedConnection((_, { progress }) => {
      progress.openCount += 1;
      progress.requestCount += 1;
    });
    await connection.open();
    const { MAX_REQUESTS_AHEAD: most } = pacedReader;
    connection.client.write(HEAD.repeat(2 * most));
    await connection.waitFor(() => connection.chunks.length === most);
    await new Promise((resolve) => setTimeout(resolve, 100));
    earl.expect(connection.chunks.length).toEqual(most);
    earl.expect(connection.budget.usedBytes > 0).toEqual(true);
    connection.progress.openCount = 0;
    connection.resume();
    await connection.waitFor(() => connection.chunks.length === 2 * most);
    earl.expect(connection.budget.usedBytes).toEqual(0);
  });

  test.it("charges a head that is not complete, and releases it with the request", async () => {
    await using connection = new PacedConnection();
    await connection.open();
    connection.client.write("GET / HTTP/1.1\r\na:\r\nb:\r\n");
    await connection.waitFor(() => connection.budget.usedBytes > 0);
    earl.expect(connection.budget.usedBytes).toEqual(24 + 3 * pacedReader.LINE_COST_BYTES);
    connection.progress.requestCount = 1;
    connection.client.write("\r\n");
    await connection.waitFor(() => connection.budget.usedBytes === 0);
  });

  test.it("does not charge the end of a body", async () => {
    await using connection = new PacedConnection((_, { progress }) => {
      progress.isInBody = false;
    });
    connection.progress.isInBody = true;
    await connection.open();
    connection.client.write("the end of a body");
    await connection.waitFor(() => connection.chunks.length === 1);
    earl.expect(connection.budget.usedBytes).toEqual(0);
  });

  test.it("closes a connection whose head takes more memory than is left", async () => {
    await using connection = new PacedConnection();
    await connection.open();
    connection.client.write("a:\r\n".repeat(10_000));
    await connection.waitFor(() => connection.client.destroyed || connection.exceeded > 0);
    earl.expect(connection.exceeded).toEqual(1);
    await connection.waitFor(() => connection.budget.usedBytes === 0);
  });
});
