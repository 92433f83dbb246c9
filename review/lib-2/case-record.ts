/** The record of a case: what was sent, answered and run, with the milliseconds since its start. */
import * as fs from "node:fs";

/** Exit codes of a case. */
export const VERDICT = { held: 0, broken: 1, notRun: 2 } as const;

/** One of the values of `VERDICT`. */
export type Verdict = (typeof VERDICT)[keyof typeof VERDICT];

/** Whether a case runs with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Writes the record of a case. */
export class CaseRecord {
  readonly #path: string;
  readonly #lines: string[] = [];
  readonly #startedAt = performance.now();

  constructor(path: string) {
    this.#path = path;
  }

  /** Milliseconds since the start of the case. */
  now(): number {
    return performance.now() - this.#startedAt;
  }

  /** Adds a line. */
  write(text: string): void {
    this.#lines.push(`${String(Math.round(this.now())).padStart(7)} ${text}`);
  }

  /** Adds a line, shows it, and writes the file. */
  close(text: string): void {
    this.write(text);
    console.log(text);
    fs.writeFileSync(this.#path, `${this.#lines.join("\n")}\n`);
  }
}

/** Waits for some time. */
export function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, durationMs)));
}

/**
 * Runs a case for at most `limitMs` and exits with its verdict; an error means that it could not run. The processes that it
 * started end with this one.
 */
export async function runCase(
  record: CaseRecord,
  limitMs: number,
  run: () => Promise<Verdict>,
): Promise<never> {
  const limit = sleep(limitMs).then(() => {
    record.write(`not over after ${limitMs} ms`);
    return VERDICT.notRun;
  });
  const verdict = await Promise.race([run(), limit]).catch((error: unknown) => {
    record.write(`could not run: ${error instanceof Error ? (error.stack ?? "") : String(error)}`);
    return VERDICT.notRun;
  });
  const texts = { 0: "held", 1: "BROKEN", 2: "could not run" } as const;
  record.close(`rule ${texts[verdict]}, TROUBLE=${HAS_TROUBLE ? 1 : 0}`);
  process.exit(verdict);
}
