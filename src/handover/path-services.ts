/** Registers the services that know this VM's paths to runners. */
import type * as container from "../kernel/container.js";
import * as pathCheck from "./path-check.js";
import * as pathEvidence from "./path-evidence.js";
import * as pathWatch from "./path-watch.js";
import * as runnerPaths from "./runner-paths.js";

/** Registers the paths of a gateway. */
export function registerPaths(kernel: container.Kernel): void {
  kernel.register("pathEvidence", createPathEvidence);
  kernel.register("runnerPaths", createRunnerPaths);
  kernel.register("pathWatch", createPathWatch);
}

function createPathEvidence(kernel: container.Kernel): pathEvidence.PathEvidence {
  const evidence = new pathEvidence.PathEvidence({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
  });
  kernel.use("runners").onChange((id, runner) => {
    if (runner === undefined) evidence.remove(id);
  });
  return evidence;
}

function createRunnerPaths(kernel: container.Kernel): runnerPaths.RunnerPathMonitor {
  const clock = kernel.use("clock");
  const calls = kernel.use("runnerCalls");
  return new runnerPaths.RunnerPathMonitor({
    clock,
    random: kernel.use("random"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    network: kernel.use("network"),
    membership: kernel.use("membership"),
    runners: kernel.use("runners"),
    calls,
    evidence: kernel.use("pathEvidence"),
    attempt: pathCheck.createAttempt(clock, calls, kernel.use("adapter").runnerCodec),
  });
}

function createPathWatch(kernel: container.Kernel): pathWatch.PathWatch {
  return new pathWatch.PathWatch({
    clock: kernel.use("clock"),
    random: kernel.use("random"),
    membership: kernel.use("membership"),
    runners: kernel.use("runners"),
    evidence: kernel.use("pathEvidence"),
    paths: kernel.use("runnerPaths"),
  });
}
