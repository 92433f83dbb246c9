/** Runs an emulated plain service as a process. */
import * as cmd from "cmd-ts";
import * as plainService from "../plain-service.js";
import * as listenFlags from "./listen-flags.js";

const command = cmd.command({
  name: "service",
  description: "Plain service that counts its executions",
  args: {
    ...listenFlags.LISTEN_FLAGS,
    name: cmd.option({ long: "name", defaultValue: () => "service" }),
  },
  handler: async (flags) => {
    const service = new plainService.PlainService(flags.name);
    listenFlags.printListening(await plainService.startPlainService(service, flags));
  },
});

await cmd.run(command, process.argv.slice(2));
