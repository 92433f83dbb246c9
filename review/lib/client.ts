/** A client that sends one request to one gateway and reports what it saw. */
import * as http from "node:http";
import * as examples from "../../standins/users-platform/examples.js";
import type * as deployments from "./deployment.js";

/** What a client saw of one request. */
export interface Answer {
  readonly id: string;
  readonly gateway: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** `undefined` if the connection ended without a head. */
  readonly status: number | undefined;
  readonly body: string;
  /** Whether the body ended as its head announced. */
  readonly isComplete: boolean;
}

let lastNumber = 0;

/** Sends a request; resolves when its connection has given all that it will. */
export function sendRequest(
  gateway: deployments.Gateway,
  method: string,
  path: string,
  deadlineMs: number,
  agent: http.Agent | false = false,
): Promise<Answer> {
  lastNumber += 1;
  const id = `review-${lastNumber}`;
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const state = { status: undefined as number | undefined, body: "", isComplete: false };
    const request = http.request({
      host: gateway.ip,
      port: examples.PORTS.front,
      method,
      path,
      agent,
      headers: { host: "api.example", "request-id": id, "deadline-ms": String(deadlineMs) },
    });
    request.setTimeout(deadlineMs + 1_000, () => request.destroy());
    request.on("response", (response) => {
      state.status = response.statusCode;
      response.on("data", (chunk: Buffer) => {
        state.body += chunk.toString("latin1");
      });
      response.on("end", () => {
        state.isComplete = response.complete;
      });
      response.on("error", () => undefined);
    });
    request.on("error", () => undefined);
    request.on("close", () => {
      resolve({ id, gateway: gateway.name, sentAt, endedAt: performance.now(), ...state });
    });
    request.end(method === "GET" ? undefined : "body");
  });
}
