/** The faults of the matrix: what each does to a victim, and when it ends. */
import type * as matrixCaller from "./matrix-caller.js";
import * as fixtures from "./fixtures.js";
import type * as world from "./world.js";

const PAUSE_MS = 20_000;
const PARTITION_MS = 8000;
const RESTART_MS = 2000;
const BACKEND_DOWN_MS = 8000;
const SLOW_LINK_MS = 700;
const LATE_REPLY_MS = 3000;
const STALL_MS = 5000;
const CLOCK_JUMP_MS = 900_000;
/** Time after which every fault that ends by itself has ended. */
export const LONGEST_FAULT_MS = 21_000;

/** Whom a fault befalls. */
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

/** The request that a fault is aimed at. */
export interface Target {
  readonly world: world.World;
  /** VM or backend of the victim. */
  readonly name: string;
  readonly caller: matrixCaller.MatrixCaller;
  readonly entry: string;
  readonly allocator: string;
  readonly others: readonly string[];
}

/** One kind of fault. */
export interface Fault {
  readonly name: string;
  readonly victims: readonly Victim[];
  /** Whether its victims leave, which the promises about leaving judge. */
  readonly isLeaving?: boolean;
  /** Text that makes the caller's request crash whatever runs it. */
  readonly poison?: string;
  /** @returns `NOTHING_HIT` when there was nothing that the fault could befall. */
  inject(target: Target): unknown;
}

/** Tells that a fault found no open connection. */
export const NOTHING_HIT = "no open connection";

function checkHit(count: number): typeof NOTHING_HIT | undefined {
  return count === 0 ? NOTHING_HIT : undefined;
}

const NODES = [VICTIM.entry, VICTIM.owner, VICTIM.backup, VICTIM.allocator] as const;

function getVm(name: string): fixtures.MatrixVm {
  const vm = fixtures.VMS.find((candidate) => candidate.vm === name);
  if (!vm) throw new Error(`no VM ${name}`);
  return vm;
}

function forEachPeer(name: string, action: (own: string, peer: string) => void): void {
  const { host } = getVm(name);
  for (const peer of fixtures.VMS) if (peer.vm !== name) action(host, peer.host);
}

function killNode({ world, name }: Target): void {
  world.nodes.get(name)?.process.kill();
  world.net.kill(getVm(name).host);
}

function pauseNode({ world, name }: Target): void {
  const { host } = getVm(name);
  const process = world.nodes.get(name)?.process;
  process?.pause();
  world.net.freeze(host);
  world.clock.schedule(PAUSE_MS, () => {
    world.net.thaw(host);
    process?.resume();
  });
}

function cutNode({ world, name }: Target): void {
  forEachPeer(name, (own, peer) => {
    world.net.cut(own, peer);
  });
  world.clock.schedule(PARTITION_MS, () => {
    forEachPeer(name, (own, peer) => {
      world.net.heal(own, peer);
    });
  });
}

function slowNode({ world, name }: Target): void {
  const setDelay = (delayMs: number): void => {
    forEachPeer(name, (own, peer) => {
      world.net.setDelay(own, peer, delayMs);
    });
  };
  setDelay(SLOW_LINK_MS);
  world.clock.schedule(PARTITION_MS, () => {
    setDelay(1);
  });
}

function createClockJump(jumpMs: number): (target: Target) => void {
  return ({ world, name }) => {
    world.nodes.get(name)?.process.setWallSkew(jumpMs);
  };
}

function sendAgain({ world, caller }: Target, vms: readonly string[]): void {
  world.clock.schedule(1, () => {
    for (const vm of vms) caller.sendAgain(vm);
  });
}

function doNothing(): void {
  // The request itself is the fault.
}

function killAndCancel(target: Target): void {
  killNode(target);
  target.caller.cancel();
}

/** Faults of nodes, the platform and callers, on every path. */
const COMMON_FAULTS: readonly Fault[] = [
  { name: "kill", victims: NODES, inject: killNode },
  {
    name: "kill and restart",
    victims: NODES,
    inject: (target) => {
      killNode(target);
      target.world.clock.schedule(RESTART_MS, () => {
        void target.world.startNode(getVm(target.name));
      });
    },
  },
  { name: "pause 20 s, wake late", victims: NODES, inject: pauseNode },
  { name: "partition 8 s, healed", victims: NODES, inject: cutNode },
  {
    name: "open connections silent",
    victims: NODES,
    inject: ({ world, name }) => {
      forEachPeer(name, (own, peer) => {
        world.net.silence(own, peer);
      });
    },
  },
  {
    name: "open connections reset",
    victims: NODES,
    inject: ({ world, name }) => {
      forEachPeer(name, (own, peer) => {
        world.net.reset(own, peer);
      });
    },
  },
  { name: "messages 0.7 s late", victims: NODES, inject: slowNode },
  { name: "wall clock +15 min", victims: NODES, inject: createClockJump(CLOCK_JUMP_MS) },
  { name: "wall clock -15 min", victims: NODES, inject: createClockJump(-CLOCK_JUMP_MS) },
  {
    name: "leaving",
    victims: NODES,
    isLeaving: true,
    inject: ({ world, name }) => {
      world.nodes.get(name)?.startLeaving();
    },
  },
  {
    name: "VM list down",
    victims: [VICTIM.platform],
    inject: ({ world }) => {
      world.platform.isDown = true;
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
    inject: (target) => {
      sendAgain(target, [target.entry]);
    },
  },
  {
    name: "retry at other node",
    victims: [VICTIM.caller],
    inject: (target) => {
      sendAgain(target, target.others.slice(0, 1));
    },
  },
  {
    name: "several retries at once",
    victims: [VICTIM.caller],
    inject: (target) => {
      sendAgain(target, [target.entry, ...target.others, target.entry]);
    },
  },
];

/** Faults of the plain service. */
const SERVICE_FAULTS: readonly Fault[] = [
  {
    name: "backend killed, restarted",
    victims: [VICTIM.service],
    inject: ({ world, name }) => {
      world.service.kill(name);
      world.clock.schedule(BACKEND_DOWN_MS, () => {
        world.service.restart(name);
      });
    },
  },
  {
    name: "backend paused 20 s",
    victims: [VICTIM.service],
    inject: ({ world, name }) => {
      world.service.pause(name);
      world.clock.schedule(PAUSE_MS, () => {
        world.service.resume(name);
      });
    },
  },
  {
    name: "reply lost",
    victims: [VICTIM.service],
    inject: ({ world, name }) => checkHit(world.service.reset(name)),
  },
  {
    name: "connection silent",
    victims: [VICTIM.service],
    inject: ({ world, name }) => checkHit(world.service.silence(name)),
  },
  {
    name: "reply 3 s late",
    victims: [VICTIM.service],
    inject: ({ world, name }) => {
      world.service.setReplyDelay(name, LATE_REPLY_MS);
    },
  },
  {
    name: "poison request",
    victims: [VICTIM.service],
    inject: ({ world, caller }) => {
      world.service.poison = caller.workload.body;
    },
  },
];

/** Faults of model runners, and of callers that do not come back. */
const RUNNER_FAULTS: readonly Fault[] = [
  {
    name: "engine crash, restarted",
    victims: [VICTIM.runner],
    inject: ({ world, name }) => {
      world.engines.crash(name);
    },
  },
  {
    name: "streams reset",
    victims: [VICTIM.runner],
    inject: ({ world, name }) => checkHit(world.engines.reset(name)),
  },
  {
    name: "streams silent",
    victims: [VICTIM.runner],
    inject: ({ world, name }) => checkHit(world.engines.silence(name)),
  },
  {
    name: "transfers stall 5 s",
    victims: [VICTIM.runner],
    inject: ({ world }) => {
      const setStalled = (isStalled: boolean): void => {
        for (const { name } of fixtures.RUNNERS) world.engines.stallTransfers(name, isStalled);
      };
      setStalled(true);
      world.clock.schedule(STALL_MS, () => {
        setStalled(false);
      });
    },
  },
  {
    name: "crossed and old frames",
    victims: [VICTIM.runner],
    inject: ({ world }) => {
      for (const { name } of fixtures.RUNNERS) world.engines.crossFrames(name);
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
    inject: (target) => {
      killNode({ ...target, name: target.allocator });
      killAndCancel(target);
    },
  },
];

/** Faults by the path of the request. */
export const FAULTS = {
  plain: [...COMMON_FAULTS, ...SERVICE_FAULTS],
  model: [...COMMON_FAULTS, ...RUNNER_FAULTS],
} as const;

/** Victims by the path of the request. */
export const PATH_VICTIMS: Readonly<Record<"plain" | "model", ReadonlySet<Victim>>> = {
  plain: new Set(Object.values(VICTIM).filter((victim) => !isOfModels(victim))),
  model: new Set(Object.values(VICTIM).filter((victim) => victim !== VICTIM.service)),
};

function isOfModels(victim: Victim): boolean {
  return victim === VICTIM.allocator || victim === VICTIM.runner;
}
