/** Properties that requests may share, any of which may be what crashes a runner. */
import type * as callerTypes from "../caller/types.js";
import * as sendAccount from "../request/send-account.js";
import type * as types from "./types.js";

/** Kinds of traits. */
export const TRAIT_KIND = {
  /** Service, caller, method, target, prompt parts and body. */
  bytes: "bytes",
  /** One prompt part that other requests may have. */
  part: "part",
  /** All such parts of a prompt together. */
  parts: "parts",
  path: "path",
  caller: "caller",
} as const;

/** One of the values of `TRAIT_KIND`. */
export type TraitKind = (typeof TRAIT_KIND)[keyof typeof TRAIT_KIND];

/** A trait of a request. */
export interface Trait {
  readonly kind: TraitKind;
  /** Hash of the service, the kind and the value. */
  readonly hash: string;
}

/** Limit on the parts that are traits of their own; callers choose how many they send. */
const MAX_PARTS = 32;

/**
 * Lists the traits of a request, its exact bytes first. A prefill and a run crash for different reasons, so the traits of
 * the two steps are told apart.
 */
export function listTraits(
  crashes: Hasher,
  call: types.ServedCall,
  step: sendAccount.SendStep,
): readonly Trait[] {
  const traits = listRunTraits(crashes, call);
  if (step === sendAccount.SEND_STEP.run) return traits;
  return traits.map(({ kind, hash }) => ({
    kind,
    hash: crashes.computeFingerprint("", step, hash),
  }));
}

/** Whether a request is served in the two steps of a model request. */
export function isModelRequest({ head, service }: types.ServedCall): boolean {
  return service.engine !== undefined && head.prompt !== undefined;
}

type Hasher = Pick<callerTypes.CrashRecords, "computeFingerprint">;

function listRunTraits(crashes: Hasher, call: types.ServedCall): readonly Trait[] {
  const { head, body, service, callerIp } = call;
  const createTrait = (kind: TraitKind, value: string): Trait => ({
    kind,
    hash: crashes.computeFingerprint("", `${service.name} ${kind}`, value),
  });
  const partIds = head.prompt?.partIds ?? [];
  const target = `${service.name} ${head.method} ${head.target} ${partIds.join(",")}`;
  const bytes = crashes.computeFingerprint(callerIp, target, body);
  // The last part belongs to the request itself or its conversation.
  const shared = [...new Set(partIds.slice(0, -1))];
  const isChain = shared.length > 1;
  const common = !isModelRequest(call)
    ? [createTrait(TRAIT_KIND.path, `${head.method} ${head.path}`)]
    : shared.slice(0, MAX_PARTS).map((part) => createTrait(TRAIT_KIND.part, part));
  return [
    { kind: TRAIT_KIND.bytes, hash: bytes },
    ...common,
    ...(isChain ? [createTrait(TRAIT_KIND.parts, shared.join(","))] : []),
    createTrait(TRAIT_KIND.caller, callerIp),
  ];
}
