/** Starts and signals child processes for the demo and for tests that use real processes. */
import * as childProcess from "node:child_process";
import * as net from "node:net";
import * as readline from "node:readline";

const STOP_TIMEOUT_MS = 5_000;
const MAX_KEPT_LINES = 20_000;
const FIRST_PORT = 10_000;
const PORT_LIMIT = 32_000;
const PORT_RANGE_SIZE = 64;
const PORT_RANGE_COUNT = Math.floor((PORT_LIMIT - FIRST_PORT) / PORT_RANGE_SIZE);
/** Exit codes of this process after a signal that terminates it: 128 plus the signal number. */
const EXIT_CODES = { SIGINT: 130, SIGTERM: 143 } as const;

let nextPort = FIRST_PORT + (process.pid % PORT_RANGE_COUNT) * PORT_RANGE_SIZE;

/** Child processes, killed when this process exits. */
const runningChildren = new Set<childProcess.ChildProcess>();

process.once("exit", () => {
  for (const child of runningChildren) child.kill("SIGKILL");
});
for (const [signal, code] of Object.entries(EXIT_CODES)) {
  process.once(signal, () => process.exit(code));
}

/** Options for starting a process, besides its flags. */
export interface ProcessOptions {
  readonly environment?: Readonly<Record<string, string>>;
  /** Flags of Node.js itself, besides those of this process. */
  readonly nodeFlags?: readonly string[];
  /** Called with each IPC message from the process; enables the IPC channel. */
  readonly onMessage?: (message: unknown) => void;
}

/** A child process. */
export class ManagedProcess implements AsyncDisposable {
  readonly name: string;
  readonly #child: childProcess.ChildProcess;
  readonly #lines: string[] = [];
  readonly #exited: Promise<number | undefined>;
  #onLine: (line: string) => void = () => undefined;

  constructor(
    name: string,
    script: string,
    flags: readonly string[],
    options: ProcessOptions = {},
  ) {
    this.name = name;
    const nodeFlags = [...process.execArgv, ...(options.nodeFlags ?? [])];
    this.#child = childProcess.spawn(process.execPath, [...nodeFlags, script, ...flags], {
      stdio: [
        "ignore",
        "pipe",
        "pipe",
        ...(options.onMessage === undefined ? [] : ["ipc" as const]),
      ],
      env: { ...process.env, ...options.environment },
    });
    runningChildren.add(this.#child);
    this.#child.on("message", options.onMessage ?? (() => undefined));
    this.#exited = new Promise((resolve) => {
      this.#child.once("exit", (code) => {
        runningChildren.delete(this.#child);
        resolve(code ?? undefined);
      });
    });
    for (const output of [this.#child.stdout, this.#child.stderr]) {
      if (output !== null)
        readline.createInterface(output).on("line", (line) => {
          this.#addLine(line);
        });
    }
  }

  /** Process id; 0 if the process could not be started. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** The most recent lines of standard output and standard error. */
  get lines(): readonly string[] {
    return this.#lines;
  }

  /** Resolves with the exit code, or `undefined` if a signal terminated the process. */
  get exited(): Promise<number | undefined> {
    return this.#exited;
  }

  /**
   * Returns the first kept output line that matches, or waits for the next one. Only one call may
   * wait at a time.
   *
   * @throws Error if the process exits first.
   */
  async waitForLine(pattern: RegExp): Promise<string> {
    const keptLine = this.#lines.find((line) => pattern.test(line));
    if (keptLine !== undefined) return keptLine;
    const line = new Promise<string>((resolve) => {
      this.#onLine = (candidate) => {
        if (pattern.test(candidate)) resolve(candidate);
      };
    });
    const exit = this.#exited.then((code) => {
      throw new Error(
        `${this.name} exited with code ${String(code)}: ${this.#lines.slice(-5).join("\n")}`,
      );
    });
    return Promise.race([line, exit]);
  }

  /** Sends an IPC message to a process that was started with `onMessage`. */
  sendMessage(message: childProcess.Serializable): void {
    if (this.#child.connected) this.#child.send(message);
  }

  sendSignal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.sendSignal("SIGCONT");
    this.sendSignal("SIGTERM");
    const timer = setTimeout(() => {
      this.sendSignal("SIGKILL");
    }, STOP_TIMEOUT_MS);
    await this.#exited;
    clearTimeout(timer);
  }

  #addLine(line: string): void {
    this.#lines.push(line);
    if (this.#lines.length > MAX_KEPT_LINES) this.#lines.shift();
    this.#onLine(line);
  }
}

/**
 * Returns a port of 127.0.0.1 that is currently free. To prevent another socket from taking it
 * before it is used, the port lies below the ephemeral range that the system assigns to outgoing
 * connections, and each process starts its search at a port that depends on its process id.
 */
export async function findFreePort(): Promise<number> {
  for (;;) {
    const port = nextPort;
    nextPort = nextPort + 1 < PORT_LIMIT ? nextPort + 1 : FIRST_PORT;
    if (await isPortFree(port)) return port;
  }
}

function isPortFree(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, "127.0.0.1", () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
