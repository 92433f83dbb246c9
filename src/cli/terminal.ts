/** Input, output and environment of a command, as an interface that tests can replace. */
import * as fs from "node:fs/promises";
import * as streamConsumers from "node:stream/consumers";

/** Output, environment variables and input files of a command. */
export interface Terminal {
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Writes a line to standard output. */
  print(line: string): void;
  /** Writes text to standard output without a trailing newline. */
  write(text: string): void;
  /** Writes a line to standard error. */
  printError(line: string): void;
  /** Reads a file, or standard input if the path is `-`. Rejects if it cannot be read. */
  readText(path: string): Promise<string>;
}

/** Creates a terminal on the streams and environment of the process. */
export function createProcessTerminal(): Terminal {
  return {
    environment: process.env,
    print: (line) => process.stdout.write(`${line}\n`),
    write: (text) => process.stdout.write(text),
    printError: (line) => process.stderr.write(`${line}\n`),
    readText: (path) =>
      path === "-" ? streamConsumers.text(process.stdin) : fs.readFile(path, "utf8"),
  };
}
