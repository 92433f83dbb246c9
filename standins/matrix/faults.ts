/** The faults of the matrix: what each does to a victim, and when it ends. */
import type * as bookingCaller from "./booking-caller.js";
import * as fixtures from "./fixtures.js";
import type * as world from "./world.js";

const PAUSE_MS = 20_000;
const PARTITION_MS = 8000;
const RESTART_MS = 2000;
const BACKEND_DOWN_MS = 8000;
const SLOW_LINK_MS = 700;
const LATE_REPLY_MS = 3000;
const CLOCK_JUMP_MS = 900_000;
/** Time after which every fault that ends by itself has ended. */
export const LONGEST_FAULT_MS = 21_000;

/** Whom a fault befalls. */
export const VICTIM = {
  entry: "entry",
  owner: "owner",
  backup: "backup",
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
  readonly caller: bookingCaller.BookingCaller;
  readonly entry: string;
  readonly others: readonly string[];
}

/** One kind of fault. */
export interface Fault {
  readonly name: string;
  readonly victims: readonly Victim[];
  /** Whether its victims leave, which the promises about leaving judge. */
  readonly isLeaving?: boolean;
  inject(target: Target): void;
}

const NODES = [VICTIM.entry, VICTIM.owner, VICTIM.backup] as const;

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
    for (const vm of vms) void caller.sendAgain(vm);
  });
}

/** All faults of the plain path. */
export const FAULTS: readonly Fault[] = [
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
    inject: ({ world, name }) => {
      world.service.reset(name);
    },
  },
  {
    name: "connection silent",
    victims: [VICTIM.service],
    inject: ({ world, name }) => {
      world.service.silence(name);
    },
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
      world.service.poison = caller.body;
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
