/** Reads files of the repository for tests of its documentation. */
import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";

const ROOT = url.fileURLToPath(new URL("../../../", import.meta.url));

/** Reads a file by its path relative to the repository root. */
export function readRepositoryFile(name: string): string {
  return fs.readFileSync(path.join(ROOT, name), "utf8");
}

/** Lists the files under a folder whose names end with `ending`, sorted. */
export function listRepositoryFiles(folder: string, ending: string): readonly string[] {
  const names = fs.readdirSync(path.join(ROOT, folder), { recursive: true, encoding: "utf8" });
  return names
    .filter((name) => name.endsWith(ending))
    .map((name) => path.join(folder, name))
    .sort();
}

/** Returns the cells of all table rows of a page, header rows included but not separator rows. */
export function readTableRows(name: string): string[][] {
  return readRepositoryFile(name)
    .split("\n")
    .filter((line) => line.startsWith("|") && !/^\|[\s|:-]+\|$/.test(line))
    .map((line) =>
      line
        .slice(1, -1)
        .split(/(?<!\\)\|/)
        .map((cell) => cell.trim()),
    );
}
