/** The HTTP server for callers. */
import * as hapi from "@hapi/hapi";
import type * as kernels from "../kernel/container.js";
import * as codes from "../protocol/result-codes.js";
import * as events from "../telemetry/log-events.js";
import * as healthRoutes from "./health-routes.js";
import * as modelRoutes from "./model-routes.js";
import * as plainRoutes from "./plain-routes.js";
import * as refusals from "./refusals.js";
import * as sessionRoutes from "./session-routes.js";

/**
 * Time without traffic after which a connection is closed; must be at least the longest deadline
 * that the configuration document allows.
 */
const SOCKET_TIMEOUT_MS = 3_600_000;
const HEADERS_TIMEOUT_MS = 10_000;
const STOP_TIMEOUT_MS = 2_000;

/** A running HTTP server for callers. */
export interface CallerServer extends AsyncDisposable {
  /** Port the server listens on; chosen by the operating system when the setting is 0. */
  readonly port: number;
  /** Number of requests whose response is neither fully written nor aborted. */
  readonly activeCount: number;
}

/**
 * Starts the HTTP server for callers.
 *
 * @param extraRoutes - routes of other modules, such as the administration API.
 * @example await using server = await startCallerServer(kernel, []);
 */
export async function startCallerServer(
  kernel: kernels.Kernel,
  extraRoutes: readonly hapi.ServerRoute[],
): Promise<CallerServer> {
  const settings = kernel.use("settings");
  const server = hapi.server({
    host: settings.host,
    port: settings.callerPort,
    compression: false,
    routes: { timeout: { server: false, socket: SOCKET_TIMEOUT_MS } },
  });
  server.listener.headersTimeout = HEADERS_TIMEOUT_MS;
  server.ext("onPreResponse", (request, toolkit) => handleErrorResponse(kernel, request, toolkit));
  server.route([
    ...sessionRoutes.createSessionRoutes(kernel),
    ...modelRoutes.createModelRoutes(kernel),
    ...plainRoutes.createPlainRoutes(kernel),
    ...healthRoutes.createHealthRoutes(kernel),
    ...extraRoutes,
  ]);
  let activeCount = 0;
  server.ext("onRequest", (request, toolkit) => {
    activeCount += 1;
    request.raw.res.once("close", () => {
      activeCount -= 1;
    });
    return toolkit.continue;
  });
  await server.start();
  return {
    port: Number(server.info.port),
    get activeCount() {
      return activeCount;
    },
    [Symbol.asyncDispose]: async () => {
      await server.stop({ timeout: STOP_TIMEOUT_MS });
    },
  };
}

const CODES_BY_STATUS: Readonly<Record<number, codes.ResultCode>> = {
  400: codes.RESULT_CODES.malformedRequest,
  404: codes.RESULT_CODES.unknownService,
  413: codes.RESULT_CODES.bodyTooLarge,
  415: codes.RESULT_CODES.malformedRequest,
};

/** Replaces an error response with one that carries a result code; counts and logs the refusal. */
function handleErrorResponse(
  kernel: kernels.Kernel,
  request: hapi.Request,
  toolkit: hapi.ResponseToolkit,
): hapi.Lifecycle.ReturnValue {
  const response = request.response;
  if (!("isBoom" in response)) return toolkit.continue;
  const error = createErrorFromBoom(response);
  const body = refusals.formatRefusal(error);
  kernel.use("metrics").count("refusals", { code: String(error.code.number) });
  kernel.use("log").write(events.LOG_EVENTS.requestRefused, {
    code: error.code.number,
    ran: error.ran,
    path: request.path,
    reason: error.cause instanceof Error ? error.cause.message : error.message,
  });
  const errorResponse = toolkit.response(body).code(error.code.status);
  if (error.retryAfterMs !== undefined) {
    errorResponse.header("retry-after", refusals.formatRetryAfter(error.retryAfterMs));
  }
  return errorResponse;
}

/**
 * Converts an error response of hapi to a `RequestError`. hapi raises the statuses of
 * `CODES_BY_STATUS` itself before it calls a handler, so the request did not run.
 */
function createErrorFromBoom(
  response: Error & { output: { statusCode: number } },
): codes.RequestError {
  if (response instanceof codes.RequestError) return response;
  const code = CODES_BY_STATUS[response.output.statusCode];
  if (code === undefined) return refusals.createRequestError(response);
  return new codes.RequestError(code, codes.RAN.no, { cause: response });
}
