/** Child processes of the soak that exchange messages with it: the emulated store and runners. */
import * as url from "node:url";
import type * as failing from "../users-platform/failing-runner.js";
import * as processes from "../processes.js";

/** What requests that end their runners have in common: their bytes, or a part of their prompts. */
export const CRASH_CAUSE = { bytes: "bytes", part: "part" } as const;

/** One of the values of `CRASH_CAUSE`. */
export type CrashCause = (typeof CRASH_CAUSE)[keyof typeof CRASH_CAUSE];

/**
 * Message from a runner: a request arrived, started to run, or was cancelled while it ran; a request that ends its
 * runners arrived, or ends this one.
 */
export type RunnerEvent =
  | { readonly kind: "ran" | "cancelled"; readonly call: string }
  | {
      readonly kind: "crashArrived" | "crashed";
      readonly call: string;
      readonly cause: CrashCause;
    }
  | {
      readonly kind: "arrived";
      readonly call: string;
      readonly isPrefill: boolean;
      /** Whether it runs; false when the runner rejects it. */
      readonly hasRun: boolean;
    };

/** Message to a runner: what to do with the requests that arrive from now on. */
export interface RunnerCommand {
  readonly failure?: failing.Failure;
  /** Limit that answers name from now on; `null` for none. */
  readonly limit?: number | null;
}

/** Message to the store. */
export type StoreCommand =
  | { readonly kind: "set"; readonly key: string; readonly value: unknown }
  | { readonly kind: "remove"; readonly key: string }
  | { readonly kind: "mode"; readonly mode: string }
  | { readonly kind: "compact" }
  /** Names no era in answers from now on. */
  | { readonly kind: "hideEra" }
  /** Keeps a copy of what the store keeps now. */
  | { readonly kind: "copy" }
  /** Comes back from the copy that was kept last. */
  | { readonly kind: "restore" };

const CHILD_SCRIPT = url.fileURLToPath(new URL("child-main.js", import.meta.url));
const LISTENING_PATTERN = /^listening (?<address>\S+)$/;

/** A child process that listens on loopback. */
export interface Child {
  readonly process: processes.ManagedProcess;
  readonly port: number;
}

/** Starts a child process and waits until it listens. @throws Error if it exits first */
export async function startChild(
  flags: readonly string[],
  onEvent: (event: RunnerEvent) => void,
): Promise<Child> {
  const childProcess = new processes.ManagedProcess(flags.join(" "), CHILD_SCRIPT, flags, {
    onMessage: (message) => {
      onEvent(message as RunnerEvent);
    },
  });
  const line = await childProcess.waitForLine(LISTENING_PATTERN);
  const address = LISTENING_PATTERN.exec(line)?.groups?.address ?? "";
  return { process: childProcess, port: Number(address.split(":")[1]) };
}
