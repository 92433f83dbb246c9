/** Reads files of the repository for tests of its documentation. */
import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";

/** Root of the repository, relative to the compiled file in `dist/test/docs`. */
const ROOT = url.fileURLToPath(new URL("../../../", import.meta.url));

/** Reads a file by its path relative to the repository root. */
export function readRepositoryFile(file: string): string {
  return fs.readFileSync(path.join(ROOT, file), "utf8");
}

/** Lists the paths of the files under a folder that end with `ending`, sorted. */
export function listRepositoryFiles(folder: string, ending: string): readonly string[] {
  const files = fs.readdirSync(path.join(ROOT, folder), { recursive: true, encoding: "utf8" });
  return files
    .filter((file) => file.endsWith(ending))
    .map((file) => path.join(folder, file))
    .sort();
}

/** Returns the cells of all table rows of a page, header rows included but not separator rows. */
export function readTableRows(file: string): string[][] {
  return readRepositoryFile(file)
    .split("\n")
    .filter((line) => line.startsWith("|") && !/^\|[\s|:-]+\|$/.test(line))
    .map((line) =>
      line
        .slice(1, -1)
        .split(/(?<!\\)\|/)
        .map((cell) => cell.trim()),
    );
}
