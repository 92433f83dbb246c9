/** In-memory terminal for tests of commands. */
import type * as terminals from "../../src/cli/terminal.js";

/** Terminal that captures its output. */
export interface FakeTerminal extends terminals.Terminal {
  readonly output: string[];
  readonly errors: string[];
}

/** Creates a terminal with the given environment variables and files. */
export function createFakeTerminal(
  environment: Record<string, string> = {},
  files: Record<string, string> = {},
): FakeTerminal {
  const output: string[] = [];
  const errors: string[] = [];
  return {
    environment,
    output,
    errors,
    print: (line) => output.push(line),
    write: (text) => output.push(text),
    printError: (line) => errors.push(line),
    readText: (path) => {
      const text = files[path];
      if (text === undefined) return Promise.reject(new Error(`no such file: ${path}`));
      return Promise.resolve(text);
    },
  };
}
