/** Access to the example documents for tests. */
import * as fs from "node:fs";
import * as documents from "../../src/settings/document.js";

/** File names of the examples. */
export const EXAMPLES = ["lagos.json", "cisty-vzduch.json"] as const;

/** Reads an example as a fresh object that a test may modify. */
export function readExample(name: (typeof EXAMPLES)[number]): documents.FleetDocument {
  const url = new URL(`../../../examples/${name}`, import.meta.url);
  return JSON.parse(fs.readFileSync(url, "utf8")) as documents.FleetDocument;
}
