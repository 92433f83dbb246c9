/** Processes of the soak that talk to it: the stand-ins of the platform's store and of runners. */
import * as url from "node:url";
import * as processes from "../processes.js";

/** A run that a runner began or saw cancelled, as it tells the soak. */
export interface RunnerEvent {
  readonly kind: "ran" | "cancelled";
  readonly call: string;
}

/** What the store is told to do. */
export type StoreCommand =
  | { readonly kind: "set"; readonly key: string; readonly value: unknown }
  | { readonly kind: "remove"; readonly key: string }
  | { readonly kind: "mode"; readonly mode: string }
  | { readonly kind: "compact" };

const CHILD_SCRIPT = url.fileURLToPath(new URL("child-main.js", import.meta.url));
const LISTENING_PATTERN = /^listening (?<address>\S+)$/;

/** A stand-in process that listens. */
export interface Child {
  readonly process: processes.ManagedProcess;
  readonly port: number;
}

/** Starts a stand-in. */
export async function startChild(
  flags: readonly string[],
  onEvent: (note: RunnerEvent) => void,
): Promise<Child> {
  const started = new processes.ManagedProcess(flags.join(" "), CHILD_SCRIPT, flags, {
    onMessage: (message) => {
      onEvent(message as RunnerEvent);
    },
  });
  const line = await started.waitForLine(LISTENING_PATTERN);
  const address = LISTENING_PATTERN.exec(line)?.groups?.address ?? "";
  return { process: started, port: Number(address.split(":")[1]) };
}
