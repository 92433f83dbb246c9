/** The faults of the matrix: what each does to its victim, and when it ends. */
import type * as matrixCaller from "./matrix-caller.js";
import * as fixtures from "./fixtures.js";
import type * as simulation from "./simulation.js";

const PAUSE_MS = 20_000;
const PARTITION_MS = 8000;
const RESTART_MS = 2000;
const BACKEND_DOWN_MS = 8000;
const LINK_DELAY_MS = 700;
const REPLY_DELAY_MS = 3000;
const TRANSFER_STALL_MS = 5000;
const CLOCK_JUMP_MS = 900_000;
/**
 * Time from the injection until every temporary fault has ended; the longest is a pause of 20 s.
 */
export const LONGEST_FAULT_MS = 21_000;

/** Roles that a fault can hit. */
export const VICTIM = {
  entry: "entry",
  owner: "owner",
  backup: "backup",
  allocator: "allocator",
  runner: "runner",
  service: "service",
  platform: "platform",
  caller: "caller",
} as const;

/** One of the values of `VICTIM`. */
export type Victim = (typeof VICTIM)[keyof typeof VICTIM];

/** What a fault can act on: the simulation, the request in progress and the victim. */
export interface InjectionContext {
  readonly simulation: simulation.Simulation;
  /** Name of the victim: a VM, a backend or a runner. */
  readonly name: string;
  readonly caller: matrixCaller.MatrixCaller;
  readonly entry: string;
  readonly allocator: string;
  readonly otherVms: readonly string[];
}

/** One kind of fault. */
export interface Fault {
  readonly name: string;
  readonly victims: readonly Victim[];
  /** Whether its victim shuts down gracefully, so that the guarantees about shutdown apply. */
  readonly isGracefulShutdown?: boolean;
  /** Suffix of the request body; an engine that runs a request with it crashes. */
  readonly poison?: string;
  /** @returns `NO_OPEN_CONNECTION` when the fault had nothing to act on. */
  inject(context: InjectionContext): unknown;
}

/** Result of a fault on connections that found none open. */
export const NO_OPEN_CONNECTION = "no open connection";

/** Returns the result of a fault that affected `count` connections. */
function checkAffected(count: number): typeof NO_OPEN_CONNECTION | undefined {
  return count === 0 ? NO_OPEN_CONNECTION : undefined;
}

const NODE_VICTIMS = [VICTIM.entry, VICTIM.owner, VICTIM.backup, VICTIM.allocator] as const;

function getVm(name: string): fixtures.MatrixVm {
  const vm = fixtures.VMS.find((candidate) => candidate.vm === name);
  if (!vm) throw new Error(`no VM is named ${name}`);
  return vm;
}

/** Calls `action` with the hosts of a VM and of each other VM. */
function applyToPeers(name: string, action: (own: string, peer: string) => void): void {
  const { host } = getVm(name);
  for (const peer of fixtures.VMS) if (peer.vm !== name) action(host, peer.host);
}

function killNode({ simulation, name }: InjectionContext): void {
  simulation.nodes.get(name)?.process.kill();
  simulation.network.kill(getVm(name).host);
}

function pauseNode({ simulation, name }: InjectionContext): void {
  const { host } = getVm(name);
  const process = simulation.nodes.get(name)?.process;
  process?.pause();
  simulation.network.freeze(host);
  simulation.clock.schedule(PAUSE_MS, () => {
    simulation.network.thaw(host);
    process?.resume();
  });
}

/** Partitions a VM from all others. */
function cutNode({ simulation, name }: InjectionContext): void {
  applyToPeers(name, (own, peer) => {
    simulation.network.cut(own, peer);
  });
  simulation.clock.schedule(PARTITION_MS, () => {
    applyToPeers(name, (own, peer) => {
      simulation.network.heal(own, peer);
    });
  });
}

/** Delays the messages between a VM and all others. */
function slowNode({ simulation, name }: InjectionContext): void {
  const setDelay = (delayMs: number): void => {
    applyToPeers(name, (own, peer) => {
      simulation.network.setDelay(own, peer, delayMs);
    });
  };
  setDelay(LINK_DELAY_MS);
  simulation.clock.schedule(PARTITION_MS, () => {
    setDelay(1);
  });
}

function createClockJump(jumpMs: number): (context: InjectionContext) => void {
  return ({ simulation, name }) => {
    simulation.nodes.get(name)?.process.setWallSkew(jumpMs);
  };
}

/** Sends the request id again to each of `vms`, 1 ms later. */
function sendRetries({ simulation, caller }: InjectionContext, vms: readonly string[]): void {
  simulation.clock.schedule(1, () => {
    for (const vm of vms) caller.sendRetry(vm);
  });
}

function doNothing(): void {
  // The engine detects the poison in the request body.
}

function killAndCancel(context: InjectionContext): void {
  killNode(context);
  context.caller.cancel();
}

/** Faults of nodes, the platform and callers, which apply to both paths. */
const COMMON_FAULTS: readonly Fault[] = [
  { name: "kill", victims: NODE_VICTIMS, inject: killNode },
  {
    name: "kill and restart",
    victims: NODE_VICTIMS,
    inject: (context) => {
      killNode(context);
      context.simulation.clock.schedule(RESTART_MS, () => {
        void context.simulation.startNode(getVm(context.name));
      });
    },
  },
  { name: "pause 20 s, wake late", victims: NODE_VICTIMS, inject: pauseNode },
  { name: "partition 8 s, healed", victims: NODE_VICTIMS, inject: cutNode },
  {
    name: "open connections silent",
    victims: NODE_VICTIMS,
    inject: ({ simulation, name }) => {
      applyToPeers(name, (own, peer) => {
        simulation.network.silence(own, peer);
      });
    },
  },
  {
    name: "open connections reset",
    victims: NODE_VICTIMS,
    inject: ({ simulation, name }) => {
      applyToPeers(name, (own, peer) => {
        simulation.network.reset(own, peer);
      });
    },
  },
  { name: "messages 0.7 s late", victims: NODE_VICTIMS, inject: slowNode },
  { name: "wall clock +15 min", victims: NODE_VICTIMS, inject: createClockJump(CLOCK_JUMP_MS) },
  { name: "wall clock -15 min", victims: NODE_VICTIMS, inject: createClockJump(-CLOCK_JUMP_MS) },
  {
    name: "leaving",
    victims: NODE_VICTIMS,
    isGracefulShutdown: true,
    inject: ({ simulation, name }) => {
      simulation.nodes.get(name)?.startDrain();
    },
  },
  {
    name: "VM list down",
    victims: [VICTIM.platform],
    inject: ({ simulation }) => {
      simulation.platform.isDown = true;
    },
  },
  {
    name: "cancel",
    victims: [VICTIM.caller],
    inject: ({ caller }) => {
      caller.cancel();
    },
  },
  {
    name: "retry at same node",
    victims: [VICTIM.caller],
    inject: (context) => {
      sendRetries(context, [context.entry]);
    },
  },
  {
    name: "retry at other node",
    victims: [VICTIM.caller],
    inject: (context) => {
      sendRetries(context, context.otherVms.slice(0, 1));
    },
  },
  {
    name: "several retries at once",
    victims: [VICTIM.caller],
    inject: (context) => {
      sendRetries(context, [context.entry, ...context.otherVms, context.entry]);
    },
  },
];

/** Faults of the plain service. */
const SERVICE_FAULTS: readonly Fault[] = [
  {
    name: "backend killed, restarted",
    victims: [VICTIM.service],
    inject: ({ simulation, name }) => {
      simulation.service.kill(name);
      simulation.clock.schedule(BACKEND_DOWN_MS, () => {
        simulation.service.restart(name);
      });
    },
  },
  {
    name: "backend paused 20 s",
    victims: [VICTIM.service],
    inject: ({ simulation, name }) => {
      simulation.service.pause(name);
      simulation.clock.schedule(PAUSE_MS, () => {
        simulation.service.resume(name);
      });
    },
  },
  {
    name: "reply lost",
    victims: [VICTIM.service],
    inject: ({ simulation, name }) => checkAffected(simulation.service.resetConnections(name)),
  },
  {
    name: "connection silent",
    victims: [VICTIM.service],
    inject: ({ simulation, name }) => checkAffected(simulation.service.silenceConnections(name)),
  },
  {
    name: "reply 3 s late",
    victims: [VICTIM.service],
    inject: ({ simulation, name }) => {
      simulation.service.setReplyDelay(name, REPLY_DELAY_MS);
    },
  },
  {
    name: "poison request",
    victims: [VICTIM.service],
    inject: ({ simulation, caller }) => {
      simulation.service.poison = caller.workload.body;
    },
  },
];

/** Faults of model runners, and of nodes that are killed as the caller disconnects. */
const RUNNER_FAULTS: readonly Fault[] = [
  {
    name: "engine crash, restarted",
    victims: [VICTIM.runner],
    inject: ({ simulation, name }) => {
      simulation.engines.crash(name);
    },
  },
  {
    name: "streams reset",
    victims: [VICTIM.runner],
    inject: ({ simulation, name }) => checkAffected(simulation.engines.resetConnections(name)),
  },
  {
    name: "streams silent",
    victims: [VICTIM.runner],
    inject: ({ simulation, name }) => checkAffected(simulation.engines.silenceConnections(name)),
  },
  {
    name: "transfers stall 5 s",
    victims: [VICTIM.runner],
    inject: ({ simulation }) => {
      const setStalled = (isStalled: boolean): void => {
        for (const { name } of fixtures.RUNNERS)
          simulation.engines.setTransfersStalled(name, isStalled);
      };
      setStalled(true);
      simulation.clock.schedule(TRANSFER_STALL_MS, () => {
        setStalled(false);
      });
    },
  },
  {
    name: "crossed and old frames",
    victims: [VICTIM.runner],
    inject: ({ simulation }) => {
      for (const { name } of fixtures.RUNNERS) simulation.engines.addStaleFrames(name);
    },
  },
  { name: "poison decode", victims: [VICTIM.runner], poison: "#crash-decode", inject: doNothing },
  { name: "poison prefill", victims: [VICTIM.runner], poison: "#crash-prefill", inject: doNothing },
  {
    name: "kill, caller gone",
    victims: [VICTIM.entry, VICTIM.owner, VICTIM.allocator],
    inject: killAndCancel,
  },
  {
    name: "kill with allocator, caller gone",
    victims: [VICTIM.entry],
    inject: (context) => {
      killNode({ ...context, name: context.allocator });
      killAndCancel(context);
    },
  },
];

/** Faults by request path. */
export const FAULTS = {
  plain: [...COMMON_FAULTS, ...SERVICE_FAULTS],
  model: [...COMMON_FAULTS, ...RUNNER_FAULTS],
} as const;

/** Possible victims by request path. */
export const PATH_VICTIMS: Readonly<Record<"plain" | "model", ReadonlySet<Victim>>> = {
  plain: new Set(Object.values(VICTIM).filter((victim) => !isModelOnlyVictim(victim))),
  model: new Set(Object.values(VICTIM).filter((victim) => victim !== VICTIM.service)),
};

function isModelOnlyVictim(victim: Victim): boolean {
  return victim === VICTIM.allocator || victim === VICTIM.runner;
}
