/** A gateway in a process of its own, started as the users' platform does. */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import * as processes from "../../standins/processes.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as fixture from "./gateway-fixture.js";

const GATEWAY_SCRIPT = url.fileURLToPath(new URL("../../bin/ebonyhook.js", import.meta.url));
const FLAGS = ["gateway", "--fleet-keys", "a-key-of-the-test-fleet", "--log-level", "error"];
const START_TIMEOUT_MS = 20_000;
const KB_PER_MB = 1_024;

/** The gateway on `127.<net>.0.1`. */
export class DeployedGateway implements AsyncDisposable {
  readonly ip: string;
  readonly process: processes.ManagedProcess;
  readonly #directory: string;

  constructor(ip: string, process: processes.ManagedProcess, directory: string) {
    this.ip = ip;
    this.process = process;
    this.#directory = directory;
  }

  /** Starts a gateway and waits until it is ready. */
  static async start(
    net: number,
    settings: examples.SettingsChanges,
    nodeFlags: readonly string[],
  ): Promise<DeployedGateway> {
    const directory = await fs.mkdtemp(path.join(os.tmpdir(), "ebonyhook-gateway-"));
    const ip = `127.${net}.0.1`;
    const settingsPath = path.join(directory, "settings.yaml");
    await fs.writeFile(settingsPath, examples.createSettingsText(ip, settings));
    const environment = { EBONYHOOK_BOOT: settingsPath };
    const options = { environment, nodeFlags };
    const child = new processes.ManagedProcess("gateway", GATEWAY_SCRIPT, FLAGS, options);
    const gateway = new DeployedGateway(ip, child, directory);
    try {
      await gateway.#waitForReady();
    } catch (error) {
      await gateway[Symbol.asyncDispose]();
      throw error;
    }
    return gateway;
  }

  /** Returns a field of `/proc/PID/status` that is a size, in MB; throws when the process has ended. */
  async readStatusMb(field: string): Promise<number> {
    const text = await fs.readFile(`/proc/${this.process.pid}/status`, "utf8");
    return Number(new RegExp(`^${field}:\\s+(\\d+)`, "m").exec(text)?.[1] ?? 0) / KB_PER_MB;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.process[Symbol.asyncDispose]();
    await fs.rm(this.#directory, { recursive: true });
  }

  /** @throws Error when the process ends first, or is not ready within `START_TIMEOUT_MS`. */
  async #waitForReady(): Promise<void> {
    const state = { hasEnded: false };
    void this.process.exited.then(() => {
      state.hasEnded = true;
    });
    const limitAt = performance.now() + START_TIMEOUT_MS;
    for (;;) {
      const isReady = await fixture.waitForReady(this.ip).then(
        () => true,
        () => false,
      );
      if (state.hasEnded) throw new Error(`gateway ended: ${this.process.lines.join("\n")}`);
      if (isReady) return;
      if (performance.now() > limitAt)
        throw new Error(`gateway ${this.ip} is not ready after ${START_TIMEOUT_MS} ms`);
    }
  }
}
