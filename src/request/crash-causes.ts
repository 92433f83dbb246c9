/**
 * Finds what crashes upstreams from the traits of the requests that were in flight at each crash. A trait is a property
 * that requests may share: exact bytes, a prompt part, a caller.
 */

/** Names of the upstream starts that ended while a request with the trait had begun there, by trait. */
export type CrashSets = ReadonlyMap<string, ReadonlySet<string>>;

/** Traits that were in flight together at the same crashes, any or all of which cause them. */
export interface Verdict {
  readonly traits: readonly string[];
  readonly starts: ReadonlySet<string>;
}

/**
 * Returns the smallest set of causes, largest first. Crashes that a cause explains count against no other trait, so that
 * a request that was in flight beside it at two crashes is not blamed.
 *
 * @param isEnough - whether crashes of these starts suffice for a verdict.
 */
export function findCauses(
  sets: CrashSets,
  isEnough: (starts: ReadonlySet<string>) => boolean,
): readonly Verdict[] {
  const verdicts: Verdict[] = [];
  let open = listBySize(sets);
  for (let [largest] = open; largest !== undefined; [largest] = open) {
    const [, starts] = largest;
    const group = open.filter(([, other]) => isEqual(other, starts));
    if (isEnough(starts)) {
      verdicts.push({ traits: group.map(([trait]) => trait), starts });
      open = listBySize(removeStarts(open, starts));
    } else {
      open = open.filter((entry) => !group.includes(entry));
    }
  }
  return verdicts;
}

type Entry = readonly [trait: string, starts: ReadonlySet<string>];

/** Sorts by number of crashes, then by name, so that all nodes with the same evidence reach the same verdict. */
function listBySize(sets: Iterable<Entry>): readonly Entry[] {
  return [...sets].sort(
    ([firstTrait, first], [secondTrait, second]) =>
      second.size - first.size || (firstTrait < secondTrait ? -1 : 1),
  );
}

function removeStarts(entries: readonly Entry[], starts: ReadonlySet<string>): readonly Entry[] {
  return entries
    .map(([trait, own]): Entry => [trait, new Set([...own].filter((name) => !starts.has(name)))])
    .filter(([, own]) => own.size > 0);
}

function isEqual(first: ReadonlySet<string>, second: ReadonlySet<string>): boolean {
  return first.size === second.size && [...first].every((name) => second.has(name));
}
