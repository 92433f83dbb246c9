/** Runners, with the properties of their pool and model, and links of the active document. */
import type * as document from "../settings/document.js";
import type * as placement from "./placement.js";

/** Bandwidth assumed between zones for which the document has no link. */
const DEFAULT_LINK_BYTES_PER_SECOND = 1_000_000_000;

/** A runner with the properties of its pool and model. */
export interface CatalogRunner extends placement.RunnerPlace {
  readonly host: string;
  readonly port: number;
  readonly role: "prefill" | "decode";
  readonly slots: number;
  readonly pieces: number;
  readonly prefillTokensPerSecond: number;
  readonly stepMs: number;
  readonly model: string;
  readonly tokensPerPiece: number;
  readonly kvBytesPerToken: number;
}

/** Index of the runners and links of one configuration document. */
export class RunnerCatalog {
  readonly #runners = new Map<string, CatalogRunner>();
  readonly #links = new Map<string, number>();

  constructor(fleet: document.FleetDocument | undefined) {
    for (const runner of fleet?.runners ?? []) {
      const entry = createEntry(fleet, runner);
      if (entry !== undefined) this.#runners.set(entry.name, entry);
    }
    for (const link of fleet?.links ?? []) {
      this.#links.set(`${link.from}\n${link.to}`, link.bytesPerSecond);
    }
  }

  findRunner(name: string): CatalogRunner | undefined {
    return this.#runners.get(name);
  }

  listRunners(): readonly CatalogRunner[] {
    return [...this.#runners.values()];
  }

  /** Returns the runners that serve a model in a role. */
  listServing(model: string, role: CatalogRunner["role"]): readonly CatalogRunner[] {
    return this.listRunners().filter((runner) => runner.model === model && runner.role === role);
  }

  /** Returns the bandwidth of the link between two zones, in bytes per second. */
  getLinkRate(from: string, to: string): number {
    return this.#links.get(`${from}\n${to}`) ?? DEFAULT_LINK_BYTES_PER_SECOND;
  }
}

function createEntry(
  fleet: document.FleetDocument | undefined,
  runner: document.Runner,
): CatalogRunner | undefined {
  const pool = fleet?.pools.find((candidate) => candidate.name === runner.pool);
  const model = fleet?.models.find((candidate) => candidate.name === pool?.model);
  if (pool === undefined || model === undefined) return undefined;
  const region = fleet?.regions.find((candidate) => candidate.zones.includes(runner.zone));
  return {
    name: runner.name,
    host: runner.host,
    port: runner.port,
    zone: runner.zone,
    region: region?.name,
    role: pool.role,
    slots: runner.slots,
    pieces: runner.pieces,
    prefillTokensPerSecond: runner.prefillTokensPerSecond,
    stepMs: runner.stepMs,
    model: model.name,
    tokensPerPiece: model.tokensPerPiece,
    kvBytesPerToken: model.kvBytesPerToken,
  };
}
