/** What a command needs of its surroundings, so that tests can replace it. */
import * as fs from "node:fs/promises";
import * as streamConsumers from "node:stream/consumers";

/** Output, environment and files of a command. */
export interface Terminal {
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Writes a line to the standard output. */
  print(line: string): void;
  /** Writes text without a line end to the standard output. */
  write(text: string): void;
  /** Writes a line to the standard error. */
  printError(line: string): void;
  /** Reads a file, or the standard input for `-`. */
  readText(path: string): Promise<string>;
}

/** Creates the terminal of the running process. */
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
