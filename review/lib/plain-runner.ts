/** A runner of a plain service that takes a given time for each request. */
import * as events from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import type * as deployments from "./deployment.js";
import * as examples from "../../standins/users-platform/examples.js";

const HTTP_MISDIRECTED = 421;
const REPORT_PATH = "/-/report";

/** A runner that lists itself in the store and records what it runs. */
export class PlainRunner implements AsyncDisposable {
  readonly id: string;
  readonly service: string;
  /** Ids of the requests that it ran, with the time at which each began. */
  readonly ran = new Map<string, number>();
  readonly #workMs: number;
  readonly #born = Date.now();
  readonly #server = http.createServer((request, response) => {
    request.resume();
    request.once("end", () => {
      this.#handle(request, response);
    });
  });

  constructor(id: string, service: string, workMs: number) {
    this.id = id;
    this.service = service;
    this.#workMs = workMs;
  }

  async start(platform: deployments.Store): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await events.default.once(this.#server, "listening");
    this.publish(platform);
  }

  /** Writes its entry to the store. */
  publish(platform: deployments.Store): void {
    const { port } = this.#server.address() as net.AddressInfo;
    const changes = { service: this.service, slots: 64, born: this.#born };
    const entry = examples.createRunnerEntry(`127.0.0.1:${port}`, changes);
    platform.set(`servers/${this.id}`, entry);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    await events.default.once(this.#server, "close");
  }

  #handle({ headers, url }: http.IncomingMessage, response: http.ServerResponse): void {
    const call = String(headers["request-id"]);
    const common = url === REPORT_PATH ? {} : { "request-id": call };
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      const answer = { ...common, "not-executed": "1", "instance-id": this.id };
      response.writeHead(HTTP_MISDIRECTED, answer).end();
      return;
    }
    if (url === REPORT_PATH) {
      response.end("{}");
      return;
    }
    this.ran.set(call, performance.now());
    setTimeout(() => {
      response.writeHead(200, { ...common, "response-stamp": `stamp-${this.id}` });
      response.end(`answer to ${call} by ${this.id} of ${this.service}\n`);
    }, this.#workMs);
  }
}
