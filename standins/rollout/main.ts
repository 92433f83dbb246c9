/**
 * Entry point of the rollout: `npm run -s rollout -- --gateways 30 --link-mbps 10 --steps 1400@3,1400@15,1@15`. Exits non-zero
 * when a request that was sent after the limit was answered by an older configuration.
 */
import * as path from "node:path";
import * as cmd from "cmd-ts";
import * as rollout from "./rollout.js";
import * as timelines from "./timeline.js";

const STATUS_UNKNOWN_ROUTE = "404";

function parseSteps(text: string): readonly rollout.RolloutStep[] {
  return text.split(",").map((step) => {
    const [routes = 0, rate = 0] = step.split("@").map(Number);
    return { routes, rate };
  });
}

function formatTimes(values: readonly number[]): string {
  const [middle, most] = [0.5, 0.9].map((share) => timelines.computeQuantile(values, share));
  return `${middle} / ${most} / ${Math.max(0, ...values)}`;
}

function printStep(step: rollout.StepResult): void {
  const { routes, rate, inForceMs, missing, late, outcomes, events } = step;
  console.log(`+${routes} routes at ${rate} requests a VM and s`);
  console.log(
    `  in force after ms (50, 90, 100 of 100): ${formatTimes(inForceMs)}; at ${missing} not`,
  );
  for (const [part, values] of Object.entries(step.parts))
    console.log(`    ${part}: ${formatTimes(values)} (${values.length} gateways)`);
  console.log(
    `  sent after the limit: ${JSON.stringify(late)}; callers: ${JSON.stringify(outcomes)}`,
  );
  const { maxDelayMs, meanCpuMs, droppedDatagrams } = step;
  const load = { maxDelayMs, meanCpuMs, droppedDatagrams };
  console.log(`  ${JSON.stringify(events)} ${JSON.stringify(load)}`);
}

const count = (long: string, value: number, description: string) =>
  cmd.option({ long, type: cmd.number, defaultValue: () => value, description });

const command = cmd.command({
  name: "rollout",
  description:
    "changes a grown configuration on gateways as processes, and measures when each follows",
  args: {
    script: cmd.option({
      long: "script",
      defaultValue: () => path.resolve("target/bin/ebonyhook.js"),
      description: "entry point of the build, by default that of `npm run -s bundle`",
    }),
    olderScript: cmd.option({
      long: "older-script",
      type: cmd.optional(cmd.string),
      description: "entry point of an older build, of which every second gateway is",
    }),
    steps: cmd.option({
      long: "steps",
      defaultValue: () => "1400@3,1400@3,1@3",
      description: "changes: routes that are added, @, requests per VM and second",
    }),
    logs: cmd.option({
      long: "logs",
      type: cmd.optional(cmd.string),
      description: "directory for the logs and settings of the gateways",
    }),
    gateways: count("gateways", 30, "number of gateways, in three zones"),
    runners: count("runners", 2, "number of runners"),
    callers: count("callers", 1, "number of caller processes"),
    linkMbps: count("link-mbps", 0, "rate of each gateway's link; 0 for no limit"),
    busy: count("busy", 0, "processes that keep a processor busy"),
    starved: count("starved", 0, "gateways that run for a share of the time only"),
    starvedShare: count("starved-share", 0.3, "share of time for which starved gateways run"),
    gapMs: count("gap-ms", 6_000, "time from one change to the next"),
    limitMs: count("limit-ms", 2_000, "time by which a change has to be in force"),
  },
  handler: async ({ steps, ...options }) => {
    const results = await rollout.runRollout({ ...options, steps: parseSteps(steps) });
    for (const step of results) printStep(step);
    if (results.some(({ late }) => (late[STATUS_UNKNOWN_ROUTE] ?? 0) > 0)) process.exitCode = 1;
  },
});

await cmd.run(command, process.argv.slice(2));
process.exit();
