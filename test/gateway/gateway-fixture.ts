/** Runs complete gateways in one process, each on its own loopback address, with a platform stand-in. */
import * as wreck from "@hapi/wreck";
import * as adapters from "../../platform/adapter.js";
import * as settingsFile from "../../platform/settings-file.js";
import * as gatewayNode from "../../src/gateway/gateway-node.js";
import * as gatewayServices from "../../src/gateway/gateway-services.js";
import type * as network from "../../src/protocol/network.js";
import type * as container from "../../src/kernel/container.js";
import * as bufferBudget from "../../src/kernel/buffer-budget.js";
import * as clocks from "../../src/kernel/clock.js";
import * as runnerTable from "../../src/runners/runner-table.js";
import type * as runners from "../../src/runners/types.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as engines from "../../standins/users-platform/engine.js";
import * as store from "../../standins/users-platform/store.js";

export const clock = clocks.createSystemClock();
const OPTIONS = {
  fleetKeys: ["a-key-of-the-test-fleet"],
  logLevel: "error",
  metricsPort: undefined,
  otlpUrl: undefined,
} as const;

/** A running gateway and its IP address. */
export interface TestGateway extends AsyncDisposable {
  readonly ip: string;
  readonly running: gatewayNode.RunningGateway;
}

/** Options of a gateway that few tests need. */
export interface GatewayChanges {
  /** Numbers of the gateways that are seeds. */
  readonly seeds?: readonly number[];
  readonly zone?: string;
  /** Address of the platform, if not that of the stand-in itself. */
  readonly platformAddress?: string;
  /** Links to the other gateways, which a test can cut. */
  readonly links?: { createTransport(host: string): network.Transport };
  /** Limit on the bytes that all calls of the gateway buffer. */
  readonly maxBufferedBytes?: number;
  /** Returns where the gateway reaches a runner, in place of its listed address. */
  readonly findPath?: FindPath;
  /** Replaces services of the gateway before it starts. */
  readonly configure?: (kernel: container.Kernel) => void;
}

/** Returns the address at which a runner is reached. */
export type FindPath = (runner: runners.Runner) => Pick<runners.Runner, "host" | "port">;

/** Runner table of a gateway that has paths of its own to the runners. */
class PathRunnerTable extends runnerTable.RunnerTable {
  readonly #findPath: FindPath;

  constructor(
    findPath: FindPath,
    ...options: ConstructorParameters<typeof runnerTable.RunnerTable>
  ) {
    super(...options);
    this.#findPath = findPath;
  }

  override setRunner(id: string, runner: runners.Runner | undefined, ageMs?: number): void {
    super.setRunner(id, runner && { ...runner, ...this.#findPath(runner) }, ageMs);
  }
}

/** Starts a gateway on `127.<net>.0.<number>`; by default number 1 of each net is the seed. */
export async function startGateway(
  platform: Pick<store.StoreStandIn, "address">,
  net: number,
  number: number,
  changes: GatewayChanges = {},
): Promise<TestGateway> {
  const ip = `127.${net}.0.${number}`;
  const { seeds = [1], zone = "a", links, maxBufferedBytes, findPath, configure } = changes;
  const text = examples.createSettingsText(ip, {
    node: `front-${number}`,
    seeds: seeds.map((seed) => `127.${net}.0.${seed}:${examples.PORTS.control}`),
    platform: changes.platformAddress ?? platform.address,
    zone,
  });
  const settings = settingsFile.parseSettings(text);
  const kernel = gatewayServices.createGatewayKernel(
    adapters.createAdapter(settings, clock),
    OPTIONS,
  );
  if (links !== undefined) kernel.register("transport", () => links.createTransport(ip));
  if (maxBufferedBytes !== undefined)
    kernel.register(
      "buffers",
      () => new bufferBudget.BufferBudget({ maxBytes: maxBufferedBytes, clock }),
    );
  if (findPath !== undefined) {
    const create = () =>
      new PathRunnerTable(
        findPath,
        kernel.use("clock"),
        kernel.use("log"),
        kernel.use("adapter").settings.runnerDrainMs,
      );
    kernel.register("runners", create);
  }
  configure?.(kernel);
  const running = await startOrDispose(kernel);
  return { ip, running, [Symbol.asyncDispose]: () => running[Symbol.asyncDispose]() };
}

/** Starts a gateway. One that cannot be started, such as at an address in use, would otherwise keep the process of the tests alive. */
async function startOrDispose(kernel: container.Kernel): Promise<gatewayNode.RunningGateway> {
  try {
    return await gatewayNode.startGateway(kernel, OPTIONS);
  } catch (error) {
    await kernel[Symbol.asyncDispose]();
    throw error;
  }
}

/** Calls that fill a retry budget, which is empty when a gateway starts. */
const WARM_UP_CALLS = 20;

/** Fills the retry budget of a service, as earlier calls would have. */
export function addRetries(gateway: TestGateway, service: string): void {
  const budgets = gateway.running.kernel.use("retryBudgets");
  for (let count = 0; count < WARM_UP_CALLS; count += 1) budgets.recordCall(service);
}

/** A platform with a configuration, one prefill engine and some decode engines. */
export interface TestPlatform extends AsyncDisposable {
  readonly platform: store.StoreStandIn;
  readonly prefill: engines.EngineStandIn;
  readonly decode: readonly engines.EngineStandIn[];
}

/**
 * Starts a platform with one decode engine for each behaviour. The first behaviour also applies to the
 * prefill engine.
 */
export async function startPlatform(
  ...behaviours: readonly engines.EngineBehaviour[]
): Promise<TestPlatform> {
  const platform = new store.StoreStandIn();
  await platform.start();
  platform.set("op/config", examples.createConfiguration(7));
  const handles: engines.HandleTable = new Map();
  const prefill = new engines.EngineStandIn("prefill", handles, behaviours[0]);
  const decode = behaviours.map(
    (behaviour) => new engines.EngineStandIn("decode", handles, behaviour),
  );
  for (const [index, engine] of [prefill, ...decode].entries()) {
    await engine.start();
    const stage = index === 0 ? "prefill" : "decode";
    const changes = { service: "model", stage, slots: 16 };
    platform.set(`servers/e${index}`, examples.createRunnerEntry(engine.address, changes));
  }
  return {
    platform,
    prefill,
    decode,
    [Symbol.asyncDispose]: async () => {
      for (const engine of [prefill, ...decode]) await engine[Symbol.asyncDispose]();
      await platform[Symbol.asyncDispose]();
    },
  };
}

/** A complete HTTP response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
}

/** Sends a request as a caller. */
export async function send(
  ip: string,
  path: string,
  headers: Readonly<Record<string, string>> = {},
  payload = "body",
  signal?: AbortSignal,
): Promise<HttpResponse> {
  const request = wreck.default.request("POST", `http://${ip}:${examples.PORTS.front}${path}`, {
    headers: { host: "api.example", "request-id": "r1", "deadline-ms": "3000", ...headers },
    payload,
    agent: false,
  });
  signal?.addEventListener("abort", () => request.req.destroy());
  const response = await request;
  const body = await wreck.default.read(response);
  const status = response.statusCode ?? 0;
  return { status, headers: response.headers, body: String(body) };
}

/** Headers of a model request. */
export const PROMPT = {
  model: "m",
  "token-count": "100,800",
  "prompt-prefix": "aa:50,bb:50",
} as const;

/** Reads a page from a gateway, such as its readiness. */
export async function read(ip: string, port: number, path: string): Promise<HttpResponse> {
  const response = await wreck.default.request("GET", `http://${ip}:${port}${path}`, {
    agent: false,
  });
  const body = await wreck.default.read(response);
  return { status: response.statusCode ?? 0, headers: response.headers, body: String(body) };
}

/** Waits until a condition holds; throws after 5 s. */
export async function waitFor(
  what: string,
  holds: () => Promise<boolean> | boolean,
): Promise<void> {
  const limitAt = clock.now() + 5_000;
  while (!(await holds())) {
    if (clock.now() > limitAt) throw new Error(`condition not met within 5 s: ${what}`);
    await clocks.sleep(clock, 20);
  }
}

/** Waits until a gateway reports that it is ready. */
export async function waitForReady(ip: string): Promise<void> {
  await waitFor(`${ip} is ready`, async () => {
    const answer = await read(ip, examples.PORTS.ready, "/-/ready").catch(() => undefined);
    return answer?.status === 200;
  });
}
