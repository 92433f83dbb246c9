/** What the processes of all stand-ins have in common. */
import * as cmd from "cmd-ts";
import type * as httpServer from "../http-server.js";

/** `--host` and `--port`; port 0 takes any free one. */
export const LISTEN_FLAGS = {
  host: cmd.option({ long: "host", defaultValue: () => "127.0.0.1" }),
  port: cmd.option({ long: "port", type: cmd.number, defaultValue: () => 0 }),
};

/** Tells whoever started the process where it listens. */
export function printListening(server: httpServer.RunningServer): void {
  process.stdout.write(`listening ${server.host}:${server.port}\n`);
}
