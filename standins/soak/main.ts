/**
 * Entry point of the soak: `npm run -s soak -- --seed 7`, `npm run -s soak -- --minutes 5`. Without
 * flags it runs the kept seeds. Exits non-zero when a guarantee was violated.
 */
import * as crypto from "node:crypto";
import * as cmd from "cmd-ts";
import * as seeds from "./seeds.js";
import * as soak from "./soak.js";

const MS_PER_MINUTE = 60_000;
const SEED_RANGE = 1_000_000;

function printResult(result: soak.SoakResult): void {
  const { seed, requests, faults, servedShare, violations } = result;
  const outcome = violations.length === 0 ? "kept" : "BROKEN";
  const figures = `${requests} requests, ${faults} faults, ${servedShare.toFixed(3)} served when calm`;
  console.log(`seed ${seed}: ${outcome}; ${figures}`);
  for (const line of violations) console.log(`  ${line}`);
}

const command = cmd.command({
  name: "soak",
  description: "runs gateways as processes under faults, and checks the promises from outside",
  args: {
    seed: cmd.option({ long: "seed", type: cmd.optional(cmd.number), description: "one seed" }),
    minutes: cmd.option({
      long: "minutes",
      type: cmd.number,
      defaultValue: () => 0,
      description: "fresh seeds for this time; without it the kept seeds once",
    }),
    seconds: cmd.option({
      long: "seconds",
      type: cmd.number,
      defaultValue: () => 10,
      description: "length of the faults of one seed",
    }),
    withoutCrashingCaller: cmd.flag({
      long: "without-crashing-caller",
      description: "without the caller whose request ends its runners, as the older kept seeds",
    }),
    withoutCrashingPart: cmd.flag({
      long: "without-crashing-part",
      description: "without the caller whose requests share a prompt part that ends its runners",
    }),
    withoutFailingRunners: cmd.flag({
      long: "without-failing-runners",
      description: "without runners that fail all requests and gateways that start cut off",
    }),
    withoutVersions: cmd.flag({
      long: "without-versions",
      description: "without runners of several software versions and callers that resume streams",
    }),
    withoutLimits: cmd.flag({
      long: "without-limits",
      description: "without runners that name a limit on their requests",
    }),
    withRestores: cmd.flag({
      long: "with-restores",
      description: "with a store that comes back from a copy; gives a seed another plan",
    }),
    gateways: cmd.option({
      long: "gateways",
      type: cmd.number,
      defaultValue: () => 3,
      description: "number of gateways",
    }),
    olderBuild: cmd.option({
      long: "older-build",
      type: cmd.optional(cmd.string),
      description: "bin/ebonyhook.js of an older build, whose gateways are replaced one by one",
    }),
    logs: cmd.option({
      long: "logs",
      type: cmd.optional(cmd.string),
      description: "directory for the logs of the runs that violate a guarantee",
    }),
  },
  handler: async ({
    logs,
    seed,
    minutes,
    seconds,
    withoutCrashingCaller,
    withoutCrashingPart,
    withoutFailingRunners,
    withoutVersions,
    withoutLimits,
    withRestores,
    gateways,
    olderBuild,
  }) => {
    const options = {
      seconds,
      hasCrashingCaller: !withoutCrashingCaller,
      hasCrashingPart: !withoutCrashingPart,
      hasFailingRunners: !withoutFailingRunners,
      hasVersions: !withoutVersions,
      hasLimits: !withoutLimits,
      hasRestores: withRestores,
      size: { gateways },
      olderScript: olderBuild,
      logDirectory: logs,
    };
    const endsAt = performance.now() + minutes * MS_PER_MINUTE;
    const plannedRuns = seed === undefined ? [...seeds.KEPT_SEEDS] : [{ ...options, seed }];
    const next = (): soak.SoakOptions | undefined => {
      if (minutes === 0) return plannedRuns.shift();
      const isOver = performance.now() >= endsAt;
      return isOver ? undefined : { ...options, seed: crypto.randomInt(SEED_RANGE) };
    };
    for (let current = next(); current !== undefined; current = next()) {
      const result = await soak.runSoak(current);
      printResult(result);
      if (result.violations.length > 0) process.exitCode = 1;
    }
  },
});

await cmd.run(command, process.argv.slice(2));
// Unused sockets of relays and of the callers' agents would keep the process running.
process.exit();
