/** Starts and signals processes of the demo and of the tests with real processes. */
import * as childProcess from "node:child_process";
import * as net from "node:net";
import * as readline from "node:readline";

const STOP_TIMEOUT_MS = 5_000;
const MAX_KEPT_LINES = 2_000;

/** One started process. */
export class ManagedProcess implements AsyncDisposable {
  readonly name: string;
  readonly #child: childProcess.ChildProcess;
  readonly #lines: string[] = [];
  readonly #exited: Promise<number | undefined>;
  #onLine: (line: string) => void = () => undefined;

  constructor(name: string, script: string, flags: readonly string[]) {
    this.name = name;
    this.#child = childProcess.spawn(process.execPath, [script, ...flags], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#exited = new Promise((resolve) => {
      this.#child.once("exit", (code) => {
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

  /** The last lines of its output. */
  get lines(): readonly string[] {
    return this.#lines;
  }

  /** Exit code; `undefined` after a signal. */
  get exited(): Promise<number | undefined> {
    return this.#exited;
  }

  /** Waits for a line that matches. @throws when the process exits first */
  async waitForLine(pattern: RegExp): Promise<string> {
    const known = this.#lines.find((line) => pattern.test(line));
    if (known !== undefined) return known;
    const line = new Promise<string>((resolve) => {
      this.#onLine = (candidate) => {
        if (pattern.test(candidate)) resolve(candidate);
      };
    });
    const exit = this.#exited.then((code) => {
      throw new Error(
        `${this.name} exited with ${String(code)}: ${this.#lines.slice(-5).join("\n")}`,
      );
    });
    return Promise.race([line, exit]);
  }

  send(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.send("SIGCONT");
    this.send("SIGTERM");
    const timer = setTimeout(() => {
      this.send("SIGKILL");
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

/** Returns a port of 127.0.0.1 that is free now. */
export async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const address = server.address();
  await new Promise((resolve) => server.close(resolve));
  if (address === null || typeof address === "string") throw new Error("no port");
  return address.port;
}
