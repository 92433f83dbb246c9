/**
 * Creates and verifies sessions. A session names the owner of its request ids, and the backup that
 * stores the records of their requests.
 */
import type * as kernels from "../kernel/container.js";
import type * as clocks from "../kernel/clock.js";
import type * as random from "../kernel/random.js";
import * as membership from "../membership/types.js";
import * as codes from "../protocol/result-codes.js";
import type * as nodeSettings from "../settings/node-settings.js";
import * as seal from "./session-seal.js";
import type * as types from "./types.js";

/** Lifetime of a new session. */
export const SESSION_LIFETIME_MS = 600_000;

const ID_PATTERN = /^([A-Za-z0-9_-]+)\.(0|[1-9][0-9]{0,14})$/;
const UINT32_RANGE = 2 ** 32;

/** Sessions as sealed text, which is authenticated by an HMAC but not encrypted. */
class SealedSessions implements types.Sessions {
  readonly #clock: clocks.Clock;
  readonly #random: random.RandomSource;
  readonly #settings: nodeSettings.NodeSettings;
  readonly #membership: membership.Membership;
  #nonceCount = 0;

  constructor(kernel: kernels.Kernel) {
    this.#clock = kernel.use("clock");
    this.#random = kernel.use("random");
    this.#settings = kernel.use("settings");
    this.#membership = kernel.use("membership");
  }

  create(caller: string): string {
    return seal.sealSession(this.#createSession(caller, this.#chooseOwner()), this.#fleetKeys);
  }

  createRequestId(caller: string): types.RequestId {
    const session = this.#createSession(caller, this.#membership.self);
    const text = `${seal.sealSession(session, this.#fleetKeys)}.0`;
    return { text, session, sequence: 0 };
  }

  parse(text: string, caller: string): types.RequestId {
    const match = ID_PATTERN.exec(text);
    const [, sealed = "", sequence = ""] = match ?? [];
    const session = seal.verifySession(sealed, this.#fleetKeys);
    if (session?.caller !== caller) {
      throw new codes.RequestError(codes.RESULT_CODES.sessionInvalid, codes.RAN.no);
    }
    if (this.#clock.wallTime() >= session.expiresAt) {
      throw new codes.RequestError(codes.RESULT_CODES.sessionExpired, codes.RAN.unknown);
    }
    return { text, session, sequence: Number(sequence) };
  }

  get #fleetKeys(): readonly string[] {
    return this.#settings.fleetKeys;
  }

  #createSession(caller: string, owner: membership.Member): types.Session {
    const backup = this.#chooseBackup(owner);
    return {
      nonce: this.#createNonce(),
      caller,
      owner: { vm: owner.vm, incarnation: owner.incarnation },
      backup: backup && { vm: backup.vm, incarnation: backup.incarnation },
      expiresAt: this.#clock.wallTime() + SESSION_LIFETIME_MS,
    };
  }

  /**
   * Creates a nonce from the VM, the incarnation and a counter. An incarnation is the wall-clock
   * start time of a node, so it can repeat after the clock was set back; the random suffix keeps
   * nonces unique in that case.
   */
  #createNonce(): string {
    const { vm, incarnation } = this.#membership.self;
    this.#nonceCount += 1;
    const suffix = this.#random.nextInteger(UINT32_RANGE).toString(36);
    return `${vm}-${incarnation.toString(36)}-${this.#nonceCount.toString(36)}-${suffix}`;
  }

  /** Chooses this node or, while it is leaving, another one, from the same zone if possible. */
  #chooseOwner(): membership.Member {
    const { self } = this.#membership;
    if (self.state !== membership.MEMBER_STATE.leaving) return self;
    const others = this.#listOthers(self);
    const sameZone = others.filter((member) => member.zone === self.zone);
    return this.#chooseRandom(sameZone) ?? this.#chooseRandom(others) ?? self;
  }

  /** Chooses a node in another zone of the owner's region, else in the region, else any other. */
  #chooseBackup(owner: membership.Member): membership.Member | undefined {
    const others = this.#listOthers(owner);
    const sameRegion = others.filter((member) => member.region === owner.region);
    const otherZone = sameRegion.filter((member) => member.zone !== owner.zone);
    return (
      this.#chooseRandom(otherZone) ?? this.#chooseRandom(sameRegion) ?? this.#chooseRandom(others)
    );
  }

  #listOthers(member: membership.Member): readonly membership.Member[] {
    return this.#membership.listAlive().filter((other) => other.vm !== member.vm);
  }

  #chooseRandom(members: readonly membership.Member[]): membership.Member | undefined {
    return members[this.#random.nextInteger(Math.max(1, members.length))];
  }
}

/**
 * Creates the session service.
 *
 * @example kernel.register("sessions", createSessions);
 */
export function createSessions(kernel: kernels.Kernel): types.Sessions {
  return new SealedSessions(kernel);
}
