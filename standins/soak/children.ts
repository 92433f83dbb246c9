/** Processes of the soak that talk to it: the stand-ins of the platform's store and of runners. */
import * as childProcess from "node:child_process";
import * as url from "node:url";

/** A run that a runner began or saw cancelled, as it tells the soak. */
export interface RunnerNote {
  readonly kind: "ran" | "cancelled";
  readonly call: string;
}

/** What the store is told to do. */
export type StoreCommand =
  | { readonly kind: "set"; readonly key: string; readonly value: unknown }
  | { readonly kind: "remove"; readonly key: string }
  | { readonly kind: "mode"; readonly mode: string }
  | { readonly kind: "compact" };

interface Listening {
  readonly kind: "listening";
  readonly address: string;
}

type Message = Listening | RunnerNote;

const CHILD_SCRIPT = url.fileURLToPath(new URL("child-main.js", import.meta.url));

/** Children that end together with the soak. */
const children = new Set<childProcess.ChildProcess>();
process.once("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});

/** One stand-in process. */
export class Child implements AsyncDisposable {
  readonly #process: childProcess.ChildProcess;
  readonly #exited: Promise<void>;
  address = "";

  constructor(flags: readonly string[], onNote: (note: RunnerNote) => void) {
    this.#process = childProcess.fork(CHILD_SCRIPT, [...flags], { stdio: "ignore" });
    children.add(this.#process);
    this.#process.on("message", (message: Message) => {
      if (message.kind === "listening") this.address = message.address;
      else onNote(message);
    });
    this.#process.on("error", () => undefined);
    this.#exited = new Promise((resolve) => {
      this.#process.once("exit", () => {
        children.delete(this.#process);
        resolve();
      });
    });
  }

  /** Waits until it listens. */
  async waitForAddress(): Promise<string> {
    while (this.address === "") {
      if (this.#process.exitCode !== null) throw new Error("stand-in ended at its start");
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    return this.address;
  }

  tell(command: StoreCommand): void {
    if (this.#process.connected) this.#process.send(command);
  }

  send(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.send("SIGKILL");
    await this.#exited;
  }
}
