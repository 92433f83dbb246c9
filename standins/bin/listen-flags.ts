/** Flags and output shared by the programs in this directory. */
import * as cmd from "cmd-ts";
import type * as httpServer from "../http-server.js";

/** `--host` and `--port`; port 0 selects any free port. */
export const LISTEN_FLAGS = {
  host: cmd.option({ long: "host", defaultValue: () => "127.0.0.1" }),
  port: cmd.option({ long: "port", type: cmd.number, defaultValue: () => 0 }),
};

/** Prints the address for the parent process, which waits for this line. */
export function printListening(server: httpServer.RunningServer): void {
  process.stdout.write(`listening ${server.host}:${server.port}\n`);
}
