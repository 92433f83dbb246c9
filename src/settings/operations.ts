/** Matches plain calls against the operations that a service declares. */
import type * as documents from "./document.js";

/** Matches exactly one path segment. */
const SEGMENT_WILDCARD = "*";
/** As the last segment of a pattern, matches zero or more segments. */
const SUFFIX_WILDCARD = "**";
const DOT_SEGMENTS: ReadonlySet<string> = new Set([".", ".."]);

/**
 * Finds the operation that a call matches. If several match, patterns are compared segment by
 * segment from the left: a literal segment takes precedence over `*`, and `*` over `**`.
 *
 * Paths that a service might resolve to a different path match nothing: those with dot segments,
 * empty segments, encoded slashes or malformed escapes.
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

/** Returns the reason why a pattern is not valid, or `undefined` if it is valid. */
export function checkPattern(pattern: string): string | undefined {
  if (pattern === "/") return undefined;
  const segments = parsePattern(pattern);
  const misplaced = segments.slice(0, -1).includes(SUFFIX_WILDCARD);
  if (misplaced) return `"${SUFFIX_WILDCARD}" may only be the last segment`;
  if (segments.includes("")) return "has an empty segment";
  if (segments.some((segment) => DOT_SEGMENTS.has(segment))) return "has a dot segment";
  if (segments.some((segment) => !isWildcard(segment) && segment.includes("*"))) {
    return `"${SEGMENT_WILDCARD}" must be a whole segment`;
  }
  if (/[?#%\\\s]/.test(pattern)) return "holds a query, an escape, a backslash or a blank";
  return undefined;
}

/** Returns whether some call matches both operations and neither is strictly more specific. */
export function hasAmbiguousOverlap(
  first: documents.Operation,
  second: documents.Operation,
): boolean {
  if (first.method !== second.method) return false;
  const firstPattern = parsePattern(first.path);
  const secondPattern = parsePattern(second.path);
  if (!hasOverlap(firstPattern, secondPattern)) return false;
  return isSuperset(firstPattern, secondPattern) === isSuperset(secondPattern, firstPattern);
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
  return segment === SEGMENT_WILDCARD || segment === SUFFIX_WILDCARD;
}

function isMatch(pattern: readonly string[], segments: readonly string[], index: number): boolean {
  const patternSegment = pattern[index];
  const segment = segments[index];
  if (patternSegment === SUFFIX_WILDCARD) return true;
  if (patternSegment === undefined || segment === undefined) return patternSegment === segment;
  return (
    (patternSegment === SEGMENT_WILDCARD || patternSegment === segment) &&
    isMatch(pattern, segments, index + 1)
  );
}

/** Compares patterns for sorting, the more specific one first. */
function comparePatterns(first: string, second: string): number {
  const firstRanks = parsePattern(first).map(computeWildcardRank);
  const secondRanks = parsePattern(second).map(computeWildcardRank);
  const length = Math.max(firstRanks.length, secondRanks.length);
  for (let index = 0; index < length; index += 1) {
    const difference = (firstRanks[index] ?? 0) - (secondRanks[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}

function computeWildcardRank(segment: string): number {
  if (segment === SUFFIX_WILDCARD) return 2;
  return segment === SEGMENT_WILDCARD ? 1 : 0;
}

/** Returns whether some path matches both patterns, from the segment at `index` on. */
function hasOverlap(first: readonly string[], second: readonly string[], index = 0): boolean {
  const firstSegment = first[index];
  const secondSegment = second[index];
  if (firstSegment === SUFFIX_WILDCARD || secondSegment === SUFFIX_WILDCARD) return true;
  if (firstSegment === undefined || secondSegment === undefined)
    return firstSegment === secondSegment;
  const doSegmentsOverlap =
    firstSegment === secondSegment || isWildcard(firstSegment) || isWildcard(secondSegment);
  return doSegmentsOverlap && hasOverlap(first, second, index + 1);
}

/** Returns whether every path that matches `inner` also matches `outer`, from `index` on. */
function isSuperset(outer: readonly string[], inner: readonly string[], index = 0): boolean {
  const outerSegment = outer[index];
  const innerSegment = inner[index];
  if (outerSegment === SUFFIX_WILDCARD) return true;
  if (outerSegment === undefined || innerSegment === undefined)
    return outerSegment === innerSegment;
  if (innerSegment === SUFFIX_WILDCARD) return false;
  return (
    (outerSegment === SEGMENT_WILDCARD || outerSegment === innerSegment) &&
    isSuperset(outer, inner, index + 1)
  );
}
