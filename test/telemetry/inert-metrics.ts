/** Metrics that record nothing. */
import type * as telemetry from "../../src/telemetry/types.js";

/** Creates metrics that record nothing. */
export function createInertMetrics(): telemetry.Metrics {
  return {
    count: () => undefined,
    set: () => undefined,
    recordDuration: () => undefined,
    format: () => Promise.resolve(""),
  };
}
