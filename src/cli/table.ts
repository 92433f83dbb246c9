/** Text tables for terminal output. */

/**
 * Formats rows as aligned columns.
 *
 * @example formatTable(["VM", "STATE"], [["vm-1", "alive"]]);
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const all = [header, ...rows];
  const widths = header.map((_title, column) =>
    Math.max(...all.map((row) => (row[column] ?? "").length)),
  );
  return all.map((row) =>
    widths
      .map((width, column) => (row[column] ?? "").padEnd(width))
      .join("  ")
      .trimEnd(),
  );
}
