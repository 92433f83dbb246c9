/** Runs an emulated engine as a process. Exits with code 70 when a prompt or a test crashes it. */
import * as cmd from "cmd-ts";
import * as clocks from "../../src/kernel/clock.js";
import * as engineModel from "../engine/engine-model.js";
import * as engineServer from "../engine/engine-server.js";
import * as transferLink from "../engine/transfer-link.js";
import * as listenFlags from "./listen-flags.js";

const CRASH_EXIT_CODE = 70;

const command = cmd.command({
  name: "engine",
  description: "Emulated model engine",
  args: {
    ...listenFlags.LISTEN_FLAGS,
    name: cmd.option({ long: "name", defaultValue: () => "engine" }),
    role: cmd.option({ long: "role", type: cmd.oneOf(["prefill", "decode"] as const) }),
    model: cmd.option({ long: "model", defaultValue: () => "model" }),
    version: cmd.option({ long: "model-version", defaultValue: () => "1" }),
    adapters: cmd.option({ long: "adapters", defaultValue: () => "", description: "by comma" }),
    slots: createNumberOption("slots", 20),
    pieces: createNumberOption("pieces", 4_000),
    tokensPerPiece: createNumberOption("tokens-per-piece", 16),
    kvBytesPerToken: createNumberOption("kv-bytes-per-token", 100_000),
    prefillTokensPerSecond: createNumberOption("prefill-tokens-per-second", 8_000),
    stepMs: createNumberOption("step-ms", 25),
    resultLifeMs: createNumberOption("result-life-ms", 800),
    loadReportMs: createNumberOption("load-report-ms", 500),
    weightBytes: createNumberOption("weight-bytes", 16e9),
    weightBytesPerSecond: createNumberOption("weight-bytes-per-second", 10e9),
    linkBytesPerSecond: createNumberOption("link-bytes-per-second", 10e9),
    ignoreFencing: cmd.flag({ long: "ignore-fencing" }),
  },
  handler: async (flags) => {
    const clock = clocks.createSystemClock();
    const engine = new engineModel.EngineModel({
      ...flags,
      clock,
      adapters: flags.adapters === "" ? [] : flags.adapters.split(","),
      checksFencing: !flags.ignoreFencing,
      link: new transferLink.TransferLink(clock, flags.linkBytesPerSecond),
      weightStore: new transferLink.TransferLink(clock, flags.weightBytesPerSecond),
      fetchKv: engineServer.fetchKvOverHttp,
      onCrash: () => process.exit(CRASH_EXIT_CODE),
    });
    listenFlags.printListening(await engineServer.startEngineServer(engine, flags));
  },
});

function createNumberOption(long: string, fallback: number) {
  return cmd.option({ long, type: cmd.number, defaultValue: () => fallback });
}

await cmd.run(command, process.argv.slice(2));
