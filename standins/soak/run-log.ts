/** Writes what is needed to trace a violation: the output of all gateways, and a timeline of faults and crashes. */
import * as fs from "node:fs/promises";
import * as path from "node:path";
import type * as soakCluster from "./soak-cluster.js";

/** Something that happened during a run. */
export interface TimelineEntry {
  /** Time in milliseconds, as `performance.now()` returns it. */
  readonly at: number;
  readonly text: string;
}

/** Returns the time of day as the gateways log it. */
function formatTime(at: number): string {
  return new Date(performance.timeOrigin + at).toISOString();
}

function listCrashEntries({ crashing }: soakCluster.SoakCluster): readonly TimelineEntry[] {
  return Object.entries(crashing).flatMap(([cause, { arrivals, crashedAt }]) => [
    ...arrivals.map(({ call, at }) => ({ at, text: `request ${call} with the ${cause} arrived` })),
    ...crashedAt.map((at) => ({ at, text: `a runner ended under the ${cause}` })),
  ]);
}

/**
 * Writes the logs of a run into a directory, which is created.
 *
 * @param timeline - entries beside those of the crashes.
 */
export async function writeRunLog(
  directory: string,
  cluster: soakCluster.SoakCluster,
  timeline: readonly TimelineEntry[],
): Promise<void> {
  await fs.mkdir(directory, { recursive: true });
  const entries = [...timeline, ...listCrashEntries(cluster)].sort((one, two) => one.at - two.at);
  const lines = entries.map(({ at, text }) => `${formatTime(at)} ${text}\n`);
  await fs.writeFile(path.join(directory, "timeline.log"), lines.join(""));
  for (const { name, processes } of cluster.gateways) {
    for (const [index, { lines: output }] of processes.entries()) {
      const file = path.join(directory, `${name}-${index + 1}.log`);
      await fs.writeFile(file, `${output.join("\n")}\n`);
    }
  }
}
