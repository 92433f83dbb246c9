/** Entry point of the soak's child processes: the emulated store and runners. */
import * as cmd from "cmd-ts";
import * as failing from "../users-platform/failing-runner.js";
import * as engines from "../users-platform/engine.js";
import * as store from "../users-platform/store.js";
import * as children from "./children.js";
import * as plainRunner from "./plain-runner.js";

const EVENT_COUNT = 40;
const EVENT_PAUSE_MS = 25;

function sendEvent(event: children.RunnerEvent): void {
  process.send?.(event);
}

/**
 * Derives the request id from the handle, since engines of different processes share no table. So
 * it accepts a handle more than once.
 */
const STATELESS_HANDLES: engines.HandleTable = {
  get: (source) => source.split("/h-")[1],
  set: () => undefined,
  delete: () => true,
};

let failure: failing.Failure = failing.FAILURE.none;
let limit: number | null = null;

/** Follows the commands of the soak to fail requests and to name a limit. */
function receiveCommands(): void {
  process.on("message", (command: children.RunnerCommand) => {
    ({ failure = failure, limit = limit } = command);
  });
}

/** Returns the headers that all answers of a runner have. */
function createCommonHeaders(): Record<string, string> {
  return limit === null ? {} : { "server-limit": String(limit) };
}

function sendArrival(call: string, isPrefill: boolean, hasRun: boolean): void {
  sendEvent({ kind: "arrived", call, isPrefill, hasRun });
}

/** Reports requests that end their runners, and ends this process with one that starts to run. */
function createCrashHandlers(cause: children.CrashCause) {
  return {
    onCrashArrived: (call: string): void => {
      sendEvent({ kind: "crashArrived", call, cause });
    },
    onCrash: (call: string): void => {
      process.send?.({ kind: "crashed", call, cause }, () => process.exit(1));
    },
  };
}

async function startEngine(stage: string, softwareVersion: string): Promise<string> {
  receiveCommands();
  const behaviour = {
    eventCount: EVENT_COUNT,
    eventPauseMs: EVENT_PAUSE_MS,
    ...(softwareVersion === "" ? {} : { softwareVersion }),
  };
  const engine = new engines.EngineStandIn(stage, STATELESS_HANDLES, {
    ...behaviour,
    chooseFailure: () => failure,
    createCommonHeaders,
    onArrived: sendArrival,
    onRan: (call) => {
      sendEvent({ kind: "ran", call });
    },
    onCancelled: (call) => {
      sendEvent({ kind: "cancelled", call });
    },
    ...createCrashHandlers(children.CRASH_CAUSE.part),
  });
  await engine.start();
  return engine.address;
}

async function startStore(): Promise<string> {
  const standIn = new store.StoreStandIn();
  await standIn.start();
  let copy = standIn.copy();
  const handlers = {
    set: (command: { key: string; value: unknown }) => {
      standIn.set(command.key, command.value);
    },
    remove: (command: { key: string }) => {
      standIn.remove(command.key);
    },
    mode: (command: { mode: string }) => {
      standIn.mode = command.mode as store.StoreMode;
    },
    hideEra: () => {
      standIn.setEra(undefined);
    },
    compact: () => {
      standIn.compact();
    },
    copy: () => {
      copy = standIn.copy();
    },
    restore: () => {
      standIn.restore(copy);
    },
  } as const;
  process.on("message", (command: children.StoreCommand) => {
    (handlers[command.kind] as (command: children.StoreCommand) => void)(command);
  });
  return standIn.address;
}

/** Start functions by role; each returns the address on which the process listens. */
const ROLES: Readonly<
  Record<string, (id: string, seed: number, softwareVersion: string) => Promise<string>>
> = {
  store: startStore,
  prefill: (_id, _seed, softwareVersion) => startEngine("prefill", softwareVersion),
  decode: (_id, _seed, softwareVersion) => startEngine("decode", softwareVersion),
  plain: (id, seed) => {
    receiveCommands();
    return plainRunner.startPlainRunner(id, seed, {
      chooseFailure: () => failure,
      createCommonHeaders,
      onArrived: (call, hasRun) => {
        sendArrival(call, false, hasRun);
      },
      onRan: (call) => {
        sendEvent({ kind: "ran", call });
      },
      ...createCrashHandlers(children.CRASH_CAUSE.bytes),
    });
  },
};

const command = cmd.command({
  name: "stand-in",
  args: {
    role: cmd.option({ long: "role" }),
    id: cmd.option({ long: "id", defaultValue: () => "" }),
    seed: cmd.option({ long: "seed", type: cmd.number, defaultValue: () => 1 }),
    softwareVersion: cmd.option({ long: "software-version", defaultValue: () => "" }),
  },
  handler: async ({ role, id, seed, softwareVersion }) => {
    const start = ROLES[role];
    if (start === undefined)
      throw new Error(`unknown role ${role}: expected ${Object.keys(ROLES).join(", ")}`);
    console.log(`listening ${await start(id, seed, softwareVersion)}`);
    process.once("disconnect", () => process.exit(0));
  },
});

await cmd.run(command, process.argv.slice(2));
