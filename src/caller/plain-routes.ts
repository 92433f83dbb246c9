/** `/services/{name}/{path}`: calls to plain services; bodies are forwarded unchanged. */
import type * as hapi from "@hapi/hapi";
import type * as kernels from "../kernel/container.js";
import * as codes from "../protocol/result-codes.js";
import type * as document from "../settings/document.js";
import * as operations from "../settings/operations.js";
import type * as upstream from "../upstream/types.js";
import * as admission from "./admission.js";
import * as callerSignal from "./caller-signal.js";
import * as requestHeaders from "./request-headers.js";
import * as traceContext from "./trace-context.js";
import type * as types from "./types.js";

const MAX_BODY_BYTES = 1024 * 1024;
/** Number of segments in `/services/{name}`, including the empty one before the first slash. */
const SERVICE_PATH_SEGMENTS = 3;
const METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"] as const;
/** Request headers that are addressed to the router or are hop-by-hop. */
const NOT_FORWARDED_HEADERS = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "idempotency-key",
  "keep-alive",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "x-attempt",
]);
const EMPTY_BODY = Buffer.alloc(0);

/** Creates the routes for plain services. */
export function createPlainRoutes(kernel: kernels.Kernel): hapi.ServerRoute[] {
  return METHODS.map((method) => ({
    method,
    path: "/services/{name}/{path*}",
    options: method === "GET" ? {} : { payload: RAW_PAYLOAD_OPTIONS },
    handler: (request, toolkit) =>
      traceContext.runInRequestSpan(kernel, request, "plain-call", () =>
        handlePlainCall(kernel, request, toolkit),
      ),
  }));
}

const RAW_PAYLOAD_OPTIONS: hapi.RouteOptionsPayload = {
  parse: false,
  output: "data",
  maxBytes: MAX_BODY_BYTES,
};

async function handlePlainCall(
  kernel: kernels.Kernel,
  request: hapi.Request,
  toolkit: hapi.ResponseToolkit,
): Promise<hapi.ResponseObject> {
  const call = createPlainCall(kernel, request);
  const signal = callerSignal.createCallerSignal(request);
  const response = await kernel.use("plainCalls").run(call, signal);
  const callerResponse = toolkit.response(Buffer.from(response.body)).code(response.status);
  for (const [name, value] of Object.entries(response.headers)) callerResponse.header(name, value);
  return callerResponse;
}

function createPlainCall(kernel: kernels.Kernel, request: hapi.Request): types.PlainCall {
  const { activeConfiguration, caller } = admission.verifyCaller(kernel, request.headers);
  const service = getPermittedService(
    activeConfiguration.document,
    caller,
    String(request.params.name),
  );
  const path = getServicePath(request);
  const method = request.method.toUpperCase();
  const operation = operations.matchOperation(service, method, path);
  if (operation === undefined) {
    // Shares the code of an unknown service; the detail tells the two apart.
    throw new codes.RequestError(codes.RESULT_CODES.unknownService, codes.RAN.no, {
      detail: "operation is not declared",
    });
  }
  const id = requestHeaders.parseRequestId(request.headers, kernel.use("sessions"), caller);
  const attempt = requestHeaders.parseAttempt(request.headers);
  return {
    caller,
    service,
    operation,
    id,
    attempt,
    request: createUpstreamRequest(request, path),
    deadlineMs: operation.deadlineMs,
  };
}

/** Returns the path below the service with the caller's percent-encoding unchanged. */
function getServicePath(request: hapi.Request): string {
  return `/${request.url.pathname.split("/").slice(SERVICE_PATH_SEGMENTS).join("/")}`;
}

/**
 * Returns the service that a caller calls.
 *
 * @throws RequestError `unknownService` or `notAllowed`.
 */
function getPermittedService(
  fleet: document.FleetDocument,
  caller: document.Caller,
  name: string,
): document.PlainService {
  const service = fleet.services.find((candidate) => candidate.name === name);
  if (service === undefined) {
    throw new codes.RequestError(codes.RESULT_CODES.unknownService, codes.RAN.no);
  }
  if (!caller.services.includes(name)) {
    throw new codes.RequestError(codes.RESULT_CODES.notAllowed, codes.RAN.no);
  }
  return service;
}

function createUpstreamRequest(request: hapi.Request, path: string): upstream.PlainRequest {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (!NOT_FORWARDED_HEADERS.has(name) && typeof value === "string") headers[name] = value;
  }
  return {
    method: request.method.toUpperCase(),
    path: path + request.url.search,
    headers,
    body: Buffer.isBuffer(request.payload) ? request.payload : EMPTY_BODY,
  };
}
