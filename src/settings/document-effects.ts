/**
 * Predicts the effects of publishing a document on runners, backends and callers, and how long the
 * loading of weights takes.
 */
import type * as documents from "./document.js";

/** Kinds of effects on a runner, backend or caller. */
export const EFFECT_KIND = {
  /** Gets no new work; running requests finish. */
  drain: "drain",
  /** Loads weights from the weight store. */
  load: "load",
  /** Changes role, which by itself loads nothing. */
  role: "role",
  /** Starts to receive work. */
  join: "join",
  /** Refuses requests of a caller that were allowed before. */
  refuse: "refuse",
} as const;

/** Value of `EFFECT_KIND`. */
export type EffectKind = (typeof EFFECT_KIND)[keyof typeof EFFECT_KIND];

/** An effect of publishing a document. */
export interface DocumentEffect {
  readonly kind: EffectKind;
  /** Name of the affected runner, backend or caller. */
  readonly target: string;
  readonly message: string;
  /** Bytes to read from the weight store. */
  readonly loadBytes: number;
  /** Duration of the read if it gets the full rate of the store. */
  readonly loadMs: number;
}

/** Role and model that a document assigns to a runner. */
interface Assignment {
  readonly role: documents.Pool["role"];
  readonly model: documents.Model;
}

const MS_PER_SECOND = 1000;
const BYTES_PER_GIGABYTE = 1_000_000_000;

/**
 * Computes the effects of replacing `before` with `after`.
 *
 * @param before - the published document; `undefined` if there is none yet.
 * @example const totalMs = computeLoadMs(computeEffects(published, edited));
 */
export function computeEffects(
  before: documents.FleetDocument | undefined,
  after: documents.FleetDocument,
): DocumentEffect[] {
  return [
    ...computeRunnerEffects(before, after),
    ...computeBackendEffects(before, after),
    ...computeCallerEffects(before, after),
  ];
}

/** Computes the total duration of all loads, which share the rate of the weight store. */
export function computeLoadMs(effects: readonly DocumentEffect[]): number {
  return effects.reduce((sum, effect) => sum + effect.loadMs, 0);
}

function computeRunnerEffects(
  before: documents.FleetDocument | undefined,
  after: documents.FleetDocument,
): DocumentEffect[] {
  const oldRunners = new Map(before?.runners.map((runner) => [runner.name, runner]));
  const newNames = new Set(after.runners.map((runner) => runner.name));
  const removed = [...oldRunners.keys()]
    .filter((name) => !newNames.has(name))
    .map((name) =>
      createEffect(EFFECT_KIND.drain, name, "gets no new work and finishes what runs"),
    );
  const changed = after.runners.flatMap((runner) => {
    const old = oldRunners.get(runner.name);
    const oldAssignment =
      old === undefined || before === undefined ? undefined : findAssignment(before, old);
    const assignment = findAssignment(after, runner);
    return [
      ...computeAddressEffects(old, runner),
      ...computeAssignmentEffects(runner.name, oldAssignment, assignment, after),
    ];
  });
  return [...removed, ...changed];
}

/** A runner at a new address is a new process: requests of the old process finish there. */
function computeAddressEffects(
  before: documents.Runner | undefined,
  after: documents.Runner,
): DocumentEffect[] {
  if (before === undefined) return [];
  if (before.host === after.host && before.port === after.port) return [];
  const address = `${after.host}:${after.port}`;
  const message = `moves to ${address}; ${before.host}:${before.port} finishes what runs`;
  return [createEffect(EFFECT_KIND.drain, after.name, message)];
}

function computeAssignmentEffects(
  name: string,
  before: Assignment | undefined,
  after: Assignment | undefined,
  document: documents.FleetDocument,
): DocumentEffect[] {
  if (after === undefined) return [];
  if (before === undefined) {
    return [
      createEffect(EFFECT_KIND.join, name, `joins as ${after.role} of ${formatModel(after.model)}`),
      createLoadEffect(name, after.model, document),
    ];
  }
  const effects: DocumentEffect[] = [];
  const needsLoad = hasDifferentWeights(before.model, after.model);
  if (needsLoad || before.role !== after.role) {
    effects.push(createEffect(EFFECT_KIND.drain, name, "finishes what runs before it changes"));
  }
  if (before.role !== after.role) {
    const message = `changes role from ${before.role} to ${after.role}`;
    effects.push(createEffect(EFFECT_KIND.role, name, message));
  }
  if (needsLoad) effects.push(createLoadEffect(name, after.model, document));
  const adapters = after.model.adapters.filter(
    (adapter) => !before.model.adapters.includes(adapter),
  );
  if (!needsLoad && adapters.length > 0) {
    const message = `loads adapters ${adapters.join(", ")}, whose size the document does not state`;
    effects.push(createEffect(EFFECT_KIND.load, name, message));
  }
  return effects;
}

function computeBackendEffects(
  before: documents.FleetDocument | undefined,
  after: documents.FleetDocument,
): DocumentEffect[] {
  const oldNames = new Set(before === undefined ? [] : listBackends(before));
  const newNames = new Set(listBackends(after));
  const removed = [...oldNames].filter((name) => !newNames.has(name));
  const added = [...newNames].filter((name) => !oldNames.has(name));
  return [
    ...removed.map((name) =>
      createEffect(EFFECT_KIND.drain, name, "gets no new calls and finishes what runs"),
    ),
    ...added.map((name) => createEffect(EFFECT_KIND.join, name, "receives calls")),
  ];
}

function computeCallerEffects(
  before: documents.FleetDocument | undefined,
  after: documents.FleetDocument,
): DocumentEffect[] {
  const newCallers = new Map(after.callers.map((caller) => [caller.name, caller]));
  return (before?.callers ?? []).flatMap((old) => {
    const caller = newCallers.get(old.name);
    if (caller === undefined) {
      return [createEffect(EFFECT_KIND.refuse, old.name, "is refused as an unknown caller")];
    }
    const revoked = [
      ...old.models.filter((name) => !caller.models.includes(name)),
      ...old.services.filter((name) => !caller.services.includes(name)),
    ];
    if (caller.credentialSha256 !== old.credentialSha256) revoked.push("its old credential");
    if (revoked.length === 0) return [];
    return [createEffect(EFFECT_KIND.refuse, old.name, `may no longer use ${revoked.join(", ")}`)];
  });
}

function listBackends(document: documents.FleetDocument): string[] {
  return document.services.flatMap((service) =>
    service.backends.map((backend) => `${service.name}/${backend.name}`),
  );
}

function findAssignment(
  document: documents.FleetDocument,
  runner: documents.Runner,
): Assignment | undefined {
  const pool = document.pools.find((candidate) => candidate.name === runner.pool);
  const model = document.models.find((candidate) => candidate.name === pool?.model);
  return pool === undefined || model === undefined ? undefined : { role: pool.role, model };
}

function hasDifferentWeights(before: documents.Model, after: documents.Model): boolean {
  return before.name !== after.name || before.version !== after.version;
}

function createLoadEffect(
  target: string,
  model: documents.Model,
  document: documents.FleetDocument,
): DocumentEffect {
  const loadBytes = model.weightBytes;
  const loadMs = (loadBytes / document.weightStore.bytesPerSecond) * MS_PER_SECOND;
  const message = `loads ${formatModel(model)}, ${formatGigabytes(loadBytes)}`;
  return { kind: EFFECT_KIND.load, target, message, loadBytes, loadMs };
}

function createEffect(kind: EffectKind, target: string, message: string): DocumentEffect {
  return { kind, target, message, loadBytes: 0, loadMs: 0 };
}

function formatModel(model: documents.Model): string {
  return `${model.name} ${model.version}`;
}

function formatGigabytes(bytes: number): string {
  return `${(bytes / BYTES_PER_GIGABYTE).toFixed(1)} GB`;
}
