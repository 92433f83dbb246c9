/** HTTP client of the platform's configuration service and VM list. */
import * as zod from "zod";
import type * as kernels from "../kernel/container.js";
import type * as clocks from "../kernel/clock.js";
import * as httpCall from "../upstream/http-call.js";
import * as responseReader from "../upstream/response-reader.js";
import type * as types from "./types.js";

/**
 * Time limit for the response headers and for the next bytes of the body. The platform answers within
 * milliseconds, so beyond this limit it or the connection is assumed to be lost.
 */
const RESPONSE_TIMEOUT_MS = 2_000;
/** Maximum response body: 1 MB for the platform's values, the rest for the JSON around them. */
const MAX_BODY_BYTES = 1_200_000;
const MAX_VMS = 10_000;
const DEFAULT_PORT = 80;
const HTTP_OK = 200;
const HTTP_NO_CONTENT = 204;

const publishedSchema = zod.object({
  revision: zod.int().min(1),
  document: zod.unknown(),
}) satisfies zod.ZodType<types.PublishedDocument>;

const portSchema = zod.int().min(1).max(65_535);

const vmsSchema = zod.object({
  vms: zod
    .array(
      zod.object({
        vm: zod.string(),
        host: zod.ipv4(),
        callerPort: portSchema,
        peerPort: portSchema,
        region: zod.string(),
        zone: zod.string(),
        state: zod.enum(["live", "leaving"]),
      }),
    )
    .max(MAX_VMS),
});

/**
 * Creates the client of the platform at the base URL from the settings.
 *
 * @example kernel.register("platform", createPlatformClient);
 */
export function createPlatformClient(kernel: kernels.Kernel): types.PlatformClient {
  return new HttpPlatformClient(kernel.use("clock"), kernel.use("settings").platformUrl);
}

interface PlatformResponse {
  readonly status: number;
  readonly body: Buffer;
}

class HttpPlatformClient implements types.PlatformClient {
  readonly #clock: clocks.Clock;
  readonly #url: URL;

  constructor(clock: clocks.Clock, url: string) {
    this.#clock = clock;
    this.#url = new URL(url);
  }

  async readConfiguration(signal: AbortSignal): Promise<types.PublishedDocument> {
    const answer = await this.#get("/v1/configuration", RESPONSE_TIMEOUT_MS, signal);
    return parseResponse(answer, publishedSchema);
  }

  async watchConfiguration(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<types.PublishedDocument | undefined> {
    const path = `/v1/configuration?after=${after}&waitMs=${waitMs}`;
    const answer = await this.#get(path, waitMs + RESPONSE_TIMEOUT_MS, signal);
    if (answer.status === HTTP_NO_CONTENT) return undefined;
    return parseResponse(answer, publishedSchema);
  }

  async listVms(signal: AbortSignal): Promise<readonly types.ListedVm[]> {
    const answer = await this.#get("/v1/vms", RESPONSE_TIMEOUT_MS, signal);
    return parseResponse(answer, vmsSchema).vms;
  }

  /** Opens a connection for each call: calls are rare, and an idle one may have failed unnoticed. */
  async #get(
    path: string,
    headersTimeoutMs: number,
    signal: AbortSignal,
  ): Promise<PlatformResponse> {
    const response = await httpCall.sendCall(this.#clock, {
      upstream: createUpstream(this.#url),
      method: "GET",
      path: `${this.#url.pathname.replace(/\/$/, "")}${path}`,
      agent: false,
      headersTimeoutMs,
      signal,
    });
    const limits = { maxBytes: MAX_BODY_BYTES, idleTimeoutMs: RESPONSE_TIMEOUT_MS };
    const body = await responseReader.readBody(this.#clock, response, limits);
    return { status: response.statusCode ?? 0, body };
  }
}

function createUpstream(url: URL): httpCall.HttpCall["upstream"] {
  const port = url.port === "" ? DEFAULT_PORT : Number(url.port);
  return { name: "platform", host: url.hostname, port };
}

function parseResponse<Value>(answer: PlatformResponse, schema: zod.ZodType<Value>): Value {
  if (answer.status !== HTTP_OK) throw new Error(`platform answered with ${answer.status}`);
  return schema.parse(JSON.parse(answer.body.toString("utf8")));
}
