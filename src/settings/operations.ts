/** Matches plain calls to the operations that a service declares. */
import type * as documents from "./document.js";

/** Matches exactly one path segment. */
const ANY_SEGMENT = "*";
/** As the last segment of a pattern, matches any number of segments, none included. */
const ANY_REST = "**";
const DOT_SEGMENTS: ReadonlySet<string> = new Set([".", ".."]);

/**
 * Finds the operation that governs a call. Where several match, the one that is more specific from
 * the left wins: a literal segment goes before `*`, and `*` before `**`.
 *
 * Paths that a service may read as another path match nothing: dot or empty segments, encoded
 * slashes and malformed escapes.
 *
 * @param path - path below the service, with or without a query.
 * @example matchOperation(service, "POST", "/registrations")?.idempotent;
 */
export function matchOperation(
  service: documents.PlainService,
  method: string,
  path: string,
): documents.Operation | undefined {
  const segments = parsePath(path);
  if (segments === undefined) return undefined;
  const matching = service.operations.filter(
    (operation) =>
      operation.method === method && isMatch(parsePattern(operation.path), segments, 0),
  );
  matching.sort((first, second) => comparePatterns(first.path, second.path));
  return matching[0];
}

/** Returns why a pattern is not valid, or `undefined` when it is. */
export function checkPattern(pattern: string): string | undefined {
  if (pattern === "/") return undefined;
  const segments = parsePattern(pattern);
  const misplaced = segments.slice(0, -1).includes(ANY_REST);
  if (misplaced) return `"${ANY_REST}" may only be the last segment`;
  if (segments.includes("")) return "has an empty segment";
  if (segments.some((segment) => DOT_SEGMENTS.has(segment))) return "has a dot segment";
  if (segments.some((segment) => !isWildcard(segment) && segment.includes("*"))) {
    return `"${ANY_SEGMENT}" must be a whole segment`;
  }
  if (/[?#%\\\s]/.test(pattern)) return "holds a query, an escape, a backslash or a blank";
  return undefined;
}

/** Returns whether some call matches both operations and neither is more specific throughout. */
export function isAmbiguous(first: documents.Operation, second: documents.Operation): boolean {
  if (first.method !== second.method) return false;
  const firstPattern = parsePattern(first.path);
  const secondPattern = parsePattern(second.path);
  if (!isOverlapping(firstPattern, secondPattern)) return false;
  return isCovering(firstPattern, secondPattern) === isCovering(secondPattern, firstPattern);
}

function parsePath(path: string): readonly string[] | undefined {
  const [pathOnly = ""] = path.split("?", 1);
  if (!pathOnly.startsWith("/")) return undefined;
  if (pathOnly === "/") return [];
  const segments: string[] = [];
  for (const encoded of pathOnly.slice(1).split("/")) {
    const segment = parseSegment(encoded);
    if (segment === undefined) return undefined;
    segments.push(segment);
  }
  return segments;
}

function parseSegment(encoded: string): string | undefined {
  let segment: string;
  try {
    segment = decodeURIComponent(encoded);
  } catch {
    return undefined;
  }
  if (segment === "" || DOT_SEGMENTS.has(segment)) return undefined;
  return /[/\\;\0]/.test(segment) ? undefined : segment;
}

function parsePattern(pattern: string): readonly string[] {
  return pattern === "/" ? [] : pattern.slice(1).split("/");
}

function isWildcard(segment: string): boolean {
  return segment === ANY_SEGMENT || segment === ANY_REST;
}

function isMatch(pattern: readonly string[], segments: readonly string[], at: number): boolean {
  const wanted = pattern[at];
  const given = segments[at];
  if (wanted === ANY_REST) return true;
  if (wanted === undefined || given === undefined) return wanted === given;
  return (wanted === ANY_SEGMENT || wanted === given) && isMatch(pattern, segments, at + 1);
}

/** Orders the more specific pattern first. */
function comparePatterns(first: string, second: string): number {
  const firstRanks = parsePattern(first).map(computeRank);
  const secondRanks = parsePattern(second).map(computeRank);
  const length = Math.max(firstRanks.length, secondRanks.length);
  for (let at = 0; at < length; at += 1) {
    const difference = (firstRanks[at] ?? 0) - (secondRanks[at] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}

function computeRank(segment: string): number {
  if (segment === ANY_REST) return 2;
  return segment === ANY_SEGMENT ? 1 : 0;
}

/** Returns whether one path may match both patterns. */
function isOverlapping(first: readonly string[], second: readonly string[], at = 0): boolean {
  const left = first[at];
  const right = second[at];
  if (left === ANY_REST || right === ANY_REST) return true;
  if (left === undefined || right === undefined) return left === right;
  const meets = left === right || isWildcard(left) || isWildcard(right);
  return meets && isOverlapping(first, second, at + 1);
}

/** Returns whether every path that matches `inner` also matches `outer`. */
function isCovering(outer: readonly string[], inner: readonly string[], at = 0): boolean {
  const wide = outer[at];
  const narrow = inner[at];
  if (wide === ANY_REST) return true;
  if (wide === undefined || narrow === undefined) return wide === narrow;
  if (narrow === ANY_REST) return false;
  return (wide === ANY_SEGMENT || wide === narrow) && isCovering(outer, inner, at + 1);
}
