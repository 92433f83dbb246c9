/** Gateways in child processes, so that they share no event loop with the runners and callers of a play. */
import * as url from "node:url";
import * as processes from "../../standins/processes.js";
import type * as store from "../../standins/users-platform/store.js";
import type * as fixture from "./gateway-fixture.js";

/** Where a gateway reaches runners that it does not reach at their listed addresses, by their ids. */
export type PathTable = Readonly<Record<string, ReturnType<fixture.FindPath>>>;

/** Changes to a gateway that cross a process border. */
export interface ProcessChanges extends Pick<fixture.GatewayChanges, "seeds" | "zone"> {
  readonly paths?: PathTable;
  /** Services whose retry budgets are filled. */
  readonly retries?: readonly string[];
}

/** A command to a process; `ip` is the address of the gateway that it is about. */
export type GatewayCommand =
  | {
      readonly kind: "start";
      readonly ip: string;
      readonly platformAddress: string;
      readonly net: number;
      readonly number: number;
      readonly changes: ProcessChanges;
    }
  | { readonly kind: "kill" | "drain" | "listQuarantined"; readonly ip: string }
  | { readonly kind: "setPaths"; readonly ip: string; readonly paths: PathTable }
  | { readonly kind: "setCut"; readonly links: readonly CutLink[] }
  | { readonly kind: "watchDelay" | "readDelay" };

/** Addresses of a gateway and of one that it can't call. */
export type CutLink = readonly [from: string, to: string];

/** A command with the number that its reply repeats. */
export interface GatewayMessage {
  readonly id: number;
  readonly command: GatewayCommand;
}

/** The reply to a command. */
export interface GatewayReply {
  readonly id: number;
  readonly result?: unknown;
  /** Why the command failed, if it did. */
  readonly error?: string;
}

const CHILD_SCRIPT = url.fileURLToPath(new URL("gateway-child.js", import.meta.url));

/** A process that runs gateways. */
export class GatewayProcess implements AsyncDisposable {
  readonly #process: processes.ManagedProcess;
  readonly #waiting = new Map<number, (reply: GatewayReply) => void>();
  #lastId = 0;

  constructor() {
    this.#process = new processes.ManagedProcess("gateways", CHILD_SCRIPT, [], {
      onMessage: (message) => {
        this.#handleReply(message as GatewayReply);
      },
    });
  }

  /** Sets which links of the gateways are cut; all others are sound from now on. */
  async setCut(links: readonly CutLink[]): Promise<void> {
    await this.call({ kind: "setCut", links });
  }

  /** Measures from now on how long the event loop of the process stands still. */
  async watchDelay(): Promise<void> {
    await this.call({ kind: "watchDelay" });
  }

  /** Returns the longest time, in ms, for which the event loop stood still since `watchDelay`. */
  async readDelay(): Promise<number> {
    return (await this.call({ kind: "readDelay" })) as number;
  }

  /** Stops the process until it is resumed. */
  pause(): void {
    this.#process.sendSignal("SIGSTOP");
  }

  resume(): void {
    this.#process.sendSignal("SIGCONT");
  }

  /** @throws Error if the command fails or the process exits first. */
  async call(command: GatewayCommand): Promise<unknown> {
    this.#lastId += 1;
    const id = this.#lastId;
    const replied = new Promise<GatewayReply>((resolve) => this.#waiting.set(id, resolve));
    const exited = this.#process.exited.then((code): GatewayReply => {
      const output = this.#process.lines.slice(-5).join("\n");
      return { id, error: `process exited with code ${String(code)}: ${output}` };
    });
    const message: GatewayMessage = { id, command };
    this.#process.sendMessage(message);
    const { result, error } = await Promise.race([replied, exited]);
    if (error !== undefined)
      throw new Error(`${command.kind} of gateways in process ${this.#process.pid}: ${error}`);
    return result;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#process[Symbol.asyncDispose]();
  }

  #handleReply(reply: GatewayReply): void {
    this.#waiting.get(reply.id)?.(reply);
    this.#waiting.delete(reply.id);
  }
}

/** The gateway on `127.<net>.0.<number>`, which runs in a process, and can be killed and started again in it. */
export class RemoteGateway {
  readonly ip: string;
  readonly #process: GatewayProcess;
  readonly #start: GatewayCommand;

  /** Does not start the gateway. */
  constructor(
    gatewayProcess: GatewayProcess,
    { address: platformAddress }: Pick<store.StoreStandIn, "address">,
    net: number,
    number: number,
    changes: ProcessChanges = {},
  ) {
    this.ip = `127.${net}.0.${number}`;
    this.#process = gatewayProcess;
    this.#start = { kind: "start", ip: this.ip, platformAddress, net, number, changes };
  }

  async start(): Promise<void> {
    await this.#process.call(this.#start);
  }

  /** Ends the gateway without a graceful shutdown. */
  async kill(): Promise<void> {
    await this.#process.call({ kind: "kill", ip: this.ip });
  }

  /** Ends the gateway gracefully. */
  async drain(): Promise<void> {
    await this.#process.call({ kind: "drain", ip: this.ip });
  }

  /** Replaces the paths of this and of later starts. */
  async setPaths(paths: PathTable): Promise<void> {
    await this.#process.call({ kind: "setPaths", ip: this.ip, paths });
  }

  /** Returns the fingerprints of the requests that the gateway has under quarantine. */
  async listQuarantined(): Promise<readonly string[]> {
    const fingerprints = await this.#process.call({ kind: "listQuarantined", ip: this.ip });
    return fingerprints as readonly string[];
  }
}
