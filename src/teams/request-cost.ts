/** Computes what a request costs of the quota of its team. */
import type * as gateway from "../gateway/types.js";
import * as routing from "../routing/types.js";

/** The parts of a quota and of a request head that its cost depends on. */
type CostRule = Pick<routing.TeamQuota, "unit" | "plainCost">;
type CostHead = Pick<gateway.CallHead, "statedTokens">;

const COSTS: Readonly<Record<routing.CostUnit, (rule: CostRule, head: CostHead) => number>> = {
  request: () => 1,
  token: ({ plainCost }, { statedTokens = plainCost }) => statedTokens,
};

/** Returns the cost of a request, in the unit of the quota. */
export function computeRequestCost(rule: CostRule, head: CostHead): number {
  return COSTS[rule.unit](rule, head);
}
