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
  /** Other traits that all but one of the crashes have. */
  readonly rivals: readonly string[];
}

/** What verdicts are based on beside the crashes. */
export interface Judgement {
  /** Whether crashes of these starts suffice for a verdict on the traits that all of them have. */
  readonly isEnough: (starts: ReadonlySet<string>, traits: readonly string[]) => boolean;
  /** Whether requests with the trait were answered lately. */
  readonly wasAnswered: (trait: string) => boolean;
}

/**
 * Returns the smallest set of causes: first traits that were never answered, then those with most crashes. Crashes that a
 * cause explains count against no other trait, so that a request that was in flight beside it at two crashes is not blamed.
 */
export function findCauses(sets: CrashSets, judgement: Judgement): readonly Verdict[] {
  const verdicts: Verdict[] = [];
  let open = listByRank(sets, judgement);
  for (let [first] = open; first !== undefined; [first] = open) {
    const [, starts] = first;
    const group = open.filter(([, other]) => isEqual(other, starts));
    const traits = group.map(([trait]) => trait);
    if (judgement.isEnough(starts, traits)) {
      verdicts.push({ traits, starts, rivals: listRivals(open, starts) });
      open = listByRank(removeStarts(open, starts), judgement);
    } else {
      open = open.filter((entry) => !group.includes(entry));
    }
  }
  return verdicts;
}

type Entry = readonly [trait: string, starts: ReadonlySet<string>];

/** Sorts the sets; ties by name, so that all nodes with the same evidence reach the same verdict. */
function listByRank(sets: Iterable<Entry>, { wasAnswered }: Judgement): readonly Entry[] {
  return [...sets].sort(
    ([firstTrait, first], [secondTrait, second]) =>
      Number(wasAnswered(firstTrait)) - Number(wasAnswered(secondTrait)) ||
      second.size - first.size ||
      (firstTrait < secondTrait ? -1 : 1),
  );
}

function listRivals(entries: readonly Entry[], starts: ReadonlySet<string>): readonly string[] {
  return entries
    .filter(([, own]) => own.size === starts.size - 1 && [...own].every((name) => starts.has(name)))
    .map(([trait]) => trait);
}

function removeStarts(entries: readonly Entry[], starts: ReadonlySet<string>): readonly Entry[] {
  return entries
    .map(([trait, own]): Entry => [trait, new Set([...own].filter((name) => !starts.has(name)))])
    .filter(([, own]) => own.size > 0);
}

function isEqual(first: ReadonlySet<string>, second: ReadonlySet<string>): boolean {
  return first.size === second.size && [...first].every((name) => second.has(name));
}
