/** Service containers with the system clock, and emulated engines and raw servers on TCP sockets. */
import * as otel from "@opentelemetry/api";
import * as net from "node:net";
import * as clocks from "../../src/kernel/clock.js";
import * as container from "../../src/kernel/container.js";
import * as engineClient from "../../src/upstream/engine-client.js";
import * as serviceClient from "../../src/upstream/service-client.js";
import type * as types from "../../src/upstream/types.js";
import * as engineModel from "../../standins/engine/engine-model.js";
import type * as engineOptions from "../../standins/engine/engine-options.js";
import * as engineServer from "../../standins/engine/engine-server.js";

/** Creates a kernel with the engine client and the service client. */
export function createClientKernel(): container.Kernel {
  const kernel = container.createKernel();
  kernel.register("clock", () => clocks.createSystemClock());
  kernel.register("tracer", () => otel.trace.getTracer("test"));
  kernel.register("engines", engineClient.createEngineClient);
  kernel.register("backends", serviceClient.createServiceClient);
  return kernel;
}

/** An emulated engine that listens on a port. */
export interface ListeningEngine extends AsyncDisposable {
  readonly engine: engineModel.EngineModel;
  readonly runner: types.Upstream;
}

/** Starts an emulated engine that fetches KV caches over HTTP. */
export async function startEngine(
  partial: Partial<engineOptions.EngineOptions>,
): Promise<ListeningEngine> {
  const engine = new engineModel.EngineModel({
    clock: clocks.createSystemClock(),
    fetchKv: engineServer.fetchKvOverHttp,
    stepMs: 2,
    ...partial,
  });
  const server = await engineServer.startEngineServer(engine, { host: "127.0.0.1", port: 0 });
  return {
    engine,
    runner: { name: engine.options.name, host: server.host, port: server.port },
    [Symbol.asyncDispose]: async () => {
      engine[Symbol.dispose]();
      await server[Symbol.asyncDispose]();
    },
  };
}

/** A TCP server whose connections are handled by a callback. */
export interface RawServer extends AsyncDisposable {
  readonly upstream: types.Upstream;
}

/** Starts a TCP server that passes each connection to `onSocket`. */
export async function startRawServer(onSocket: (socket: net.Socket) => void): Promise<RawServer> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    onSocket(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  return {
    upstream: { name: "raw", host: "127.0.0.1", port },
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        for (const socket of sockets) socket.destroy();
        server.close(() => {
          resolve();
        });
      }),
  };
}

/** Creates an upstream at whose address nothing listens. */
export async function createUnreachableUpstream(): Promise<types.Upstream> {
  const server = await startRawServer(() => undefined);
  await server[Symbol.asyncDispose]();
  return server.upstream;
}

/** Returns the failure, and any status, with which a promise is rejected; "none" if it resolves. */
export async function getFailure(promise: Promise<unknown>): Promise<string> {
  try {
    await promise;
    return "none";
  } catch (error) {
    const { failure, status } = error as types.UpstreamError;
    return status === undefined ? failure : `${failure} ${status}`;
  }
}
