/** The desired state of runners and its comparison with the state that they report. */
import type * as document from "../settings/document.js";
import type * as upstream from "../upstream/types.js";

/** A runner of the document with its model and the order for its desired state. */
export interface DesiredRunner {
  readonly runner: document.Runner;
  readonly model: document.Model;
  readonly order: upstream.RunnerOrder;
}

/** Returns the desired state of every runner whose pool and model exist. */
export function computeDesiredRunners(fleet: document.FleetDocument): readonly DesiredRunner[] {
  const pools = new Map(fleet.pools.map((pool) => [pool.name, pool]));
  const models = new Map(fleet.models.map((model) => [model.name, model]));
  return fleet.runners.flatMap((runner) => {
    const pool = pools.get(runner.pool);
    const model = models.get(pool?.model ?? "");
    if (pool === undefined || model === undefined) return [];
    return [{ runner, model, order: createOrder(fleet.revision, pool, model) }];
  });
}

/** Whether a runner's reported state differs from the order. */
export function hasDrift(order: upstream.RunnerOrder, load: upstream.RunnerLoad): boolean {
  const hasOtherRole = order.role !== load.role;
  return hasOtherRole || hasWeightChange(order, load) || !hasSameAdapters(order, load);
}

/** Whether the order requires the runner to load other weights. */
export function hasWeightChange(order: upstream.RunnerOrder, load: upstream.RunnerLoad): boolean {
  return order.model !== load.model || order.version !== load.version;
}

function createOrder(
  revision: number,
  pool: document.Pool,
  model: document.Model,
): upstream.RunnerOrder {
  return {
    fencing: revision,
    model: model.name,
    version: model.version,
    adapters: [...model.adapters].sort(),
    role: pool.role,
  };
}

function hasSameAdapters(order: upstream.RunnerOrder, load: upstream.RunnerLoad): boolean {
  const wanted = [...order.adapters].sort().join("/");
  return wanted === [...load.adapters].sort().join("/");
}
