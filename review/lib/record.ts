/** The record of a case: what was sent, answered and run. */
import * as fs from "node:fs";
import * as path from "node:path";

/** Exit codes of the scripts of the cases. */
export const EXIT_CODE = { held: 0, broken: 1, notRun: 2 } as const;

/** Whether the disruption of a case is applied. */
export const isDisrupted = process.env.TROUBLE !== "0";

/** Appends lines to the record of one case. */
export class CaseRecord {
  readonly #file: string;
  readonly #startedAt = performance.now();

  /** @param directory - name of the folder of the case in `review`. */
  constructor(directory: string) {
    this.#file = path.resolve("review", directory, "record.txt");
    fs.writeFileSync(this.#file, "");
    this.write(isDisrupted ? "run with the disruption" : "run without the disruption");
  }

  write(text: string): void {
    const at = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    fs.appendFileSync(this.#file, `${at} s  ${text}\n`);
  }
}

/** A case; returns its exit code. */
export type Case = (record: CaseRecord) => Promise<number>;

const LIMIT_MS = 115_000;

/** Runs a case and exits with its code; an error means that the case could not run. */
export async function runCase(directory: string, run: Case): Promise<void> {
  const record = new CaseRecord(directory);
  const limit = new Promise<number>((_resolve, reject) => {
    setTimeout(() => {
      reject(new Error(`no result within ${LIMIT_MS} ms`));
    }, LIMIT_MS).unref();
  });
  const code = await Promise.race([run(record), limit]).catch((error: unknown) => {
    record.write(`the case could not run: ${String(error)}`);
    return EXIT_CODE.notRun;
  });
  const results = { 0: "the rule held", 1: "the rule was broken", 2: "not run" };
  const result = results[code as 0 | 1 | 2];
  record.write(`result: ${result}`);
  console.log(`${directory}: ${result}`);
  process.exit(code);
}

/** Waits for a time in milliseconds. */
export async function wait(delayMs: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
