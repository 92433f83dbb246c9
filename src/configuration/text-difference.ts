/** Differences between two canonical documents, by runs of equal segments. */

/** Copies `count` segments of the old text from segment `from` on, then adds `text`. */
export interface Hunk {
  readonly from: number;
  readonly count: number;
  readonly text: string;
}

/**
 * Computes how to make the new text from the old one.
 *
 * @example applyDifference(oldText, computeDifference(oldText, newText)) === newText;
 */
export function computeDifference(oldText: string, newText: string): readonly Hunk[] {
  const oldSegments = listSegments(oldText);
  const positions = new Map(oldSegments.map((segment, index) => [segment, index]));
  const hunks: Hunk[] = [];
  let hunk: Hunk = { from: 0, count: 0, text: "" };
  for (const segment of listSegments(newText)) {
    const extended = findExtension(hunk, segment, oldSegments);
    if (extended !== undefined) {
      hunk = extended;
      continue;
    }
    const position = positions.get(segment);
    if (position === undefined) {
      hunk = { ...hunk, text: hunk.text + segment };
      continue;
    }
    hunks.push(hunk);
    hunk = { from: position, count: 1, text: "" };
  }
  hunks.push(hunk);
  return hunks;
}

/**
 * Makes the new text from the old one and a difference.
 *
 * @throws RangeError when the difference names segments that the old text doesn't have.
 */
export function applyDifference(oldText: string, hunks: readonly Hunk[]): string {
  const oldSegments = listSegments(oldText);
  const parts = hunks.map(({ from, count, text }) => {
    if (from + count > oldSegments.length) throw new RangeError("difference to another text");
    return oldSegments.slice(from, from + count).join("") + text;
  });
  return parts.join("");
}

/** Returns the hunk with one more copied segment, if the segment follows the copied ones. */
function findExtension(
  hunk: Hunk,
  segment: string,
  oldSegments: readonly string[],
): Hunk | undefined {
  const isNext = hunk.text === "" && oldSegments[hunk.from + hunk.count] === segment;
  return isNext ? { ...hunk, count: hunk.count + 1 } : undefined;
}

/** Cuts before each opening brace, so that each item of a list is a segment. */
function listSegments(text: string): readonly string[] {
  return text.split(/(?=\{)/);
}
