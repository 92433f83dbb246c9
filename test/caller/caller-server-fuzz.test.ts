import * as net from "node:net";
import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as callerServer from "../../src/caller/caller-server.js";
import type * as addressCache from "../../src/client/address-cache.js";
import * as exchange from "../../src/client/exchange.js";
import * as clocks from "../../src/kernel/clock.js";
import * as codes from "../../src/protocol/result-codes.js";
import * as serverKernel from "./caller-server-kernel.js";

const PROPERTY_OPTIONS = { seed: 17, numRuns: 150 };
const TIMEOUT_MS = 5000;
/** Above the limit of 4 MiB on the body of a model request. */
const OVERSIZED_BODY_BYTES = 5_000_000;
const MAX_RESPONSE_BYTES = 1_000_000;
const CODE_NUMBERS: ReadonlySet<number> = new Set(
  Object.values(codes.RESULT_CODES).map((code) => code.number),
);

interface ReceivedResponse {
  readonly status: number;
  readonly body: string;
}

async function send(
  node: addressCache.NodeAddress,
  request: Partial<exchange.NodeRequest>,
): Promise<ReceivedResponse> {
  const clock = clocks.createSystemClock();
  const fullRequest = {
    method: "GET",
    path: "/healthz",
    headers: {},
    timeoutMs: TIMEOUT_MS,
    ...request,
  };
  const response = await exchange.sendRequest(
    clock,
    node,
    fullRequest,
    new AbortController().signal,
  );
  const body = await exchange.readBody(clock, response, MAX_RESPONSE_BYTES, TIMEOUT_MS);
  return { status: response.statusCode ?? 0, body: body.toString("utf8") };
}

/**
 * Checks that a response is a success, or an error with a documented result code other than
 * `internalError` and without a stack trace.
 */
function checkResponse(response: ReceivedResponse): void {
  if (response.status < 400) return;
  const refusal = exchange.parseRefusal(exchange.parseJson(response.body));
  earl.expect(CODE_NUMBERS.has(refusal?.code ?? 0)).toEqual(true);
  earl.expect(refusal?.code === codes.RESULT_CODES.internalError.number).toEqual(false);
  earl.expect(response.body.includes(".js:")).toEqual(false);
}

/** Runs a check against a server, and then checks that the server still responds. */
async function runWithServer(
  check: (node: addressCache.NodeAddress) => Promise<void>,
): Promise<void> {
  await using kernel = serverKernel.createServerKernel();
  await using running = await callerServer.startCallerServer(kernel, []);
  const node = { host: "127.0.0.1", port: running.port };
  await check(node);
  earl.expect((await send(node, {})).status).toEqual(200);
}

/** Text that is valid in a header value. */
const headerText = fastCheck
  .string({ unit: "binary-ascii", maxLength: 80 })
  .map((text) => text.replace(/[^\x20-\x7e]/g, ""));
const authorization = fastCheck.constantFrom("Bearer demo-surveyors", "Bearer none", "");

test.describe("the HTTP server for callers, with arbitrary input", () => {
  test.it(
    "responds to arbitrary bodies on the model routes with success or a documented error",
    async () => {
      await runWithServer(async (node) => {
        const body = fastCheck.oneof(
          fastCheck.json(),
          fastCheck.string(),
          fastCheck
            .record({
              model: fastCheck.constantFrom("iono-llm", "iono-llm:tile-summary", "iono-llm:", ":"),
              prompt: fastCheck.oneof(fastCheck.string(), fastCheck.jsonValue()),
              messages: fastCheck.jsonValue(),
              max_tokens: fastCheck.oneof(fastCheck.integer(), fastCheck.double()),
              stream: fastCheck.boolean(),
            })
            .map((value) => JSON.stringify(value)),
        );
        const path = fastCheck.constantFrom("/v1/completions", "/v1/chat/completions");
        const property = fastCheck.asyncProperty(
          path,
          authorization,
          body,
          async (requestPath, credential, text) => {
            const headers = { authorization: credential, "content-type": "application/json" };
            checkResponse(
              await send(node, { method: "POST", path: requestPath, headers, body: text }),
            );
          },
        );
        await fastCheck.assert(property, PROPERTY_OPTIONS);
      });
    },
  );

  test.it(
    "responds to arbitrary ids, attempts and paths of plain calls with success or a documented error",
    async () => {
      await runWithServer(async (node) => {
        const path = fastCheck.webPath({ size: "medium" });
        const method = fastCheck.constantFrom("GET", "POST", "PUT", "DELETE", "PATCH");
        const property = fastCheck.asyncProperty(
          method,
          fastCheck.oneof(path, fastCheck.constant("/registrations"), fastCheck.constant("/%zz")),
          headerText,
          headerText,
          async (requestMethod, servicePath, id, attempt) => {
            const headers = {
              authorization: "Bearer demo-surveyors",
              "idempotency-key": id,
              "x-attempt": attempt,
            };
            const requestPath = `/services/corr-api${servicePath}`;
            checkResponse(await send(node, { method: requestMethod, path: requestPath, headers }));
          },
        );
        await fastCheck.assert(property, PROPERTY_OPTIONS);
      });
    },
  );

  test.it("still responds after random bytes on its port", async () => {
    await runWithServer(async (node) => {
      const bytes = fastCheck.uint8Array({ minLength: 1, maxLength: 2000 });
      const property = fastCheck.asyncProperty(bytes, async (randomBytes) => {
        await sendBytes(node, Buffer.from(randomBytes));
      });
      await fastCheck.assert(property, PROPERTY_OPTIONS);
    });
  });

  test.it("rejects an oversized body", async () => {
    await runWithServer(async (node) => {
      const headers = {
        authorization: "Bearer demo-surveyors",
        "content-type": "application/json",
      };
      const request = { method: "POST", path: "/v1/completions", headers };
      const response = await send(node, {
        ...request,
        body: Buffer.alloc(OVERSIZED_BODY_BYTES, " "),
      });
      earl.expect(response.status).toEqual(codes.RESULT_CODES.bodyTooLarge.status);
      checkResponse(response);
    });
  });
});

/** Sends bytes, ends the connection and waits until it is closed. */
function sendBytes(node: addressCache.NodeAddress, bytes: Buffer): Promise<void> {
  return new Promise((resolve) => {
    const socket = net.connect(node.port, node.host, () => socket.end(bytes));
    socket.on("error", () => undefined);
    socket.on("close", () => {
      resolve();
    });
    socket.resume();
  });
}
