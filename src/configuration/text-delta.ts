/** Deltas between two canonical documents: copied runs of segments, each followed by new text. */

/** Part of a delta: copies `count` segments of the old text from segment `from`, then adds `text`. */
export interface Hunk {
  readonly from: number;
  readonly count: number;
  readonly text: string;
}

/**
 * Computes the hunks that turn the old text into the new one.
 *
 * @example applyDelta(oldText, computeDelta(oldText, newText)) === newText;
 */
export function computeDelta(oldText: string, newText: string): readonly Hunk[] {
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
 * Returns the new text, given the old one and the hunks.
 *
 * @throws RangeError when a hunk refers to segments that the old text does not have.
 */
export function applyDelta(oldText: string, hunks: readonly Hunk[]): string {
  const oldSegments = listSegments(oldText);
  const parts = hunks.map(({ from, count, text }) => {
    if (from + count > oldSegments.length) {
      throw new RangeError(`hunk ends at segment ${from + count} of ${oldSegments.length}`);
    }
    return oldSegments.slice(from, from + count).join("") + text;
  });
  return parts.join("");
}

/** Extends the hunk by one copied segment, if `segment` follows the copied ones in the old text. */
function findExtension(
  hunk: Hunk,
  segment: string,
  oldSegments: readonly string[],
): Hunk | undefined {
  const isNext = hunk.text === "" && oldSegments[hunk.from + hunk.count] === segment;
  return isNext ? { ...hunk, count: hunk.count + 1 } : undefined;
}

/** Splits before each opening brace, so that each object in a list becomes a segment. */
function listSegments(text: string): readonly string[] {
  return text.split(/(?=\{)/);
}
