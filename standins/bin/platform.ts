/** Runs the emulated platform as a process. */
import * as fs from "node:fs/promises";
import * as cmd from "cmd-ts";
import * as clocks from "../../src/kernel/clock.js";
import * as platformServer from "../platform-server.js";
import * as platformModel from "../platform.js";
import * as listenFlags from "./listen-flags.js";

interface RevisionedDocument {
  readonly revision: number;
}

const command = cmd.command({
  name: "platform",
  description: "Configuration service and VM list",
  args: {
    ...listenFlags.LISTEN_FLAGS,
    document: cmd.option({
      long: "document",
      type: cmd.optional(cmd.string),
      description: "File of the first document",
    }),
  },
  handler: async (flags) => {
    const platform = new platformModel.Platform(clocks.createSystemClock());
    if (flags.document !== undefined) {
      const document = JSON.parse(await fs.readFile(flags.document, "utf8")) as RevisionedDocument;
      platform.publish({ revision: document.revision, document });
    }
    listenFlags.printListening(await platformServer.startPlatformServer(platform, flags));
  },
});

await cmd.run(command, process.argv.slice(2));
