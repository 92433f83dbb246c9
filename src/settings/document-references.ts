/** Validates a document across its items: references, duplicates, conflicts and related fields. */
import type * as documents from "./document.js";
import * as documentItems from "./document-items.js";
import * as operations from "./operations.js";

type Fault = documents.DocumentFault;

/** An item that others reference by name. */
interface NamedItem {
  readonly name: string;
}

/**
 * Lists the faults that involve several items. Invalid fields are ignored, but invalid names count
 * as existing when they are referenced.
 *
 * @example checkReferences(input, parsers).length === 0;
 */
export function checkReferences(input: unknown, parsers: documentItems.ItemParsers): Fault[] {
  const items = documentItems.readDocumentItems(input, parsers);
  return [
    ...checkZones(items),
    ...checkCallers(items),
    ...checkModels(items),
    ...checkPools(items),
    ...checkRunners(items),
    ...checkServices(items),
    ...checkLinks(items),
    ...checkAddresses(items),
  ];
}

function checkZones(items: documentItems.DocumentItems): Fault[] {
  const faults = checkDuplicateItems("regions", items.regions);
  const regionByZone = new Map<string, string>();
  items.regions.forEach(({ item: region, index: regionIndex }) => {
    region.zones?.forEach((zone, zoneIndex) => {
      const path = `regions[${regionIndex}].zones[${zoneIndex}]`;
      const other = regionByZone.get(zone);
      if (other !== undefined) {
        faults.push({ path, reason: `zone "${zone}" already stands in region "${other}"` });
      }
      regionByZone.set(zone, region.name ?? "");
    });
  });
  return faults;
}

function checkCallers(items: documentItems.DocumentItems): Fault[] {
  const faults = checkDuplicateItems("callers", items.callers);
  const callerByHash = new Map<string, string>();
  items.callers.forEach(({ item: caller, index }) => {
    const path = `callers[${index}]`;
    faults.push(
      ...checkReferencedNames(`${path}.models`, "model", caller.models ?? [], items.modelNames),
    );
    faults.push(
      ...checkReferencedNames(
        `${path}.services`,
        "service",
        caller.services ?? [],
        items.serviceNames,
      ),
    );
    if (caller.tolerance) faults.push(...checkTolerance(`${path}.tolerance`, caller.tolerance));
    if (caller.credentialSha256 === undefined) return;
    const other = callerByHash.get(caller.credentialSha256);
    if (other !== undefined) {
      const reason = `caller "${other}" has the same credential`;
      faults.push({ path: `${path}.credentialSha256`, reason });
    }
    callerByHash.set(caller.credentialSha256, caller.name ?? "");
  });
  return faults;
}

function checkTolerance(path: string, tolerance: documents.Caller["tolerance"]): Fault[] {
  const faults: Fault[] = [];
  if (tolerance.deadlineMs < tolerance.firstTokenMs) {
    const reason = `is below firstTokenMs (${tolerance.firstTokenMs})`;
    faults.push({ path: `${path}.deadlineMs`, reason });
  }
  if (tolerance.deadlineMs < tolerance.betweenTokensMs) {
    const reason = `exceeds deadlineMs (${tolerance.deadlineMs})`;
    faults.push({ path: `${path}.betweenTokensMs`, reason });
  }
  return faults;
}

function checkModels(items: documentItems.DocumentItems): Fault[] {
  const faults = checkDuplicateItems("models", items.models);
  items.models.forEach(({ item: model, index }) => {
    faults.push(
      ...checkDuplicateNames(`models[${index}].adapters`, "adapter", model.adapters ?? []),
    );
  });
  return faults;
}

function checkPools(items: documentItems.DocumentItems): Fault[] {
  const faults = checkDuplicateItems("pools", items.pools);
  items.pools.forEach(({ item: pool, index }) => {
    const path = `pools[${index}]`;
    if (pool.model === undefined) return;
    if (!items.modelNames.has(pool.model)) {
      faults.push({ path: `${path}.model`, reason: `unknown model "${pool.model}"` });
      return;
    }
    if (pool.role === undefined) return;
    const counterpartRole = pool.role === "prefill" ? "decode" : "prefill";
    const hasCounterpart = items.pools.some(
      ({ item: other }) => other.model === pool.model && other.role === counterpartRole,
    );
    if (!hasCounterpart) {
      const reason = `model "${pool.model}" has no ${counterpartRole} pool`;
      faults.push({ path: `${path}.role`, reason });
    }
  });
  return faults;
}

function checkRunners(items: documentItems.DocumentItems): Fault[] {
  const faults = checkDuplicateItems("runners", items.runners);
  items.runners.forEach(({ item: runner, index }) => {
    const path = `runners[${index}]`;
    if (runner.zone !== undefined && !items.zoneNames.has(runner.zone)) {
      faults.push({ path: `${path}.zone`, reason: `unknown zone "${runner.zone}"` });
    }
    if (runner.pool !== undefined && !items.poolNames.has(runner.pool)) {
      faults.push({ path: `${path}.pool`, reason: `unknown pool "${runner.pool}"` });
    }
  });
  return faults;
}

function checkServices(items: documentItems.DocumentItems): Fault[] {
  const faults = checkDuplicateItems("services", items.services);
  items.services.forEach(({ item: service, index }) => {
    const path = `services[${index}]`;
    const backends = service.backends ?? [];
    faults.push(
      ...checkDuplicateItems(`${path}.backends`, documentItems.listIndexedItems(backends)),
    );
    backends.forEach((backend, backendIndex) => {
      if (items.zoneNames.has(backend.zone)) return;
      const reason = `unknown zone "${backend.zone}"`;
      faults.push({ path: `${path}.backends[${backendIndex}].zone`, reason });
    });
    faults.push(...checkOperations(`${path}.operations`, service.operations ?? []));
  });
  return faults;
}

function checkOperations(path: string, list: readonly documents.Operation[]): Fault[] {
  const faults: Fault[] = [];
  list.forEach((operation, index) => {
    const patternFault = operations.checkPattern(operation.path);
    if (patternFault !== undefined) {
      faults.push({ path: `${path}[${index}].path`, reason: patternFault });
      return;
    }
    const conflict = list
      .slice(0, index)
      .findIndex((other) => operations.hasAmbiguousOverlap(operation, other));
    if (conflict === -1) return;
    const reason = `overlaps ambiguously with operations[${conflict}] (${formatOperation(list[conflict])})`;
    faults.push({ path: `${path}[${index}]`, reason });
  });
  return faults;
}

function checkLinks(items: documentItems.DocumentItems): Fault[] {
  const faults: Fault[] = [];
  const seenLinks = new Set<string>();
  items.links.forEach(({ item: link, index }) => {
    const path = `links[${index}]`;
    for (const end of ["from", "to"] as const) {
      const zone = link[end];
      if (zone === undefined || items.zoneNames.has(zone)) continue;
      faults.push({ path: `${path}.${end}`, reason: `unknown zone "${zone}"` });
    }
    if (link.from === undefined || link.to === undefined) return;
    const key = JSON.stringify([link.from, link.to]);
    if (seenLinks.has(key)) {
      faults.push({ path, reason: `duplicate link from "${link.from}" to "${link.to}"` });
    }
    seenLinks.add(key);
  });
  return faults;
}

/** Checks that each upstream has an address of its own. */
function checkAddresses(items: documentItems.DocumentItems): Fault[] {
  const faults: Fault[] = [];
  const pathByAddress = new Map<string, string>();
  const checkAddress = (path: string, host?: string, port?: number): void => {
    if (host === undefined || port === undefined) return;
    const address = `${host}:${port}`;
    const other = pathByAddress.get(address);
    if (other === undefined) {
      pathByAddress.set(address, path);
      return;
    }
    faults.push({ path: `${path}.port`, reason: `address ${address} is also that of ${other}` });
  };
  items.runners.forEach(({ item: runner, index }) => {
    checkAddress(`runners[${index}]`, runner.host, runner.port);
  });
  items.services.forEach(({ item: service, index }) => {
    service.backends?.forEach((backend, backendIndex) => {
      checkAddress(`services[${index}].backends[${backendIndex}]`, backend.host, backend.port);
    });
  });
  return faults;
}

function checkDuplicateItems(
  path: string,
  items: readonly documentItems.IndexedItem<Partial<NamedItem>>[],
): Fault[] {
  const seenNames = new Set<string>();
  const faults: Fault[] = [];
  items.forEach(({ item, index }) => {
    if (item.name === undefined) return;
    if (seenNames.has(item.name)) {
      faults.push({ path: `${path}[${index}].name`, reason: `duplicate name "${item.name}"` });
    }
    seenNames.add(item.name);
  });
  return faults;
}

function checkReferencedNames(
  path: string,
  kind: string,
  names: readonly string[],
  known: ReadonlySet<string>,
): Fault[] {
  const faults = checkDuplicateNames(path, kind, names);
  names.forEach((name, index) => {
    if (known.has(name)) return;
    faults.push({ path: `${path}[${index}]`, reason: `unknown ${kind} "${name}"` });
  });
  return faults;
}

function checkDuplicateNames(path: string, kind: string, names: readonly string[]): Fault[] {
  return names.flatMap((name, index) =>
    names.indexOf(name) === index
      ? []
      : [{ path: `${path}[${index}]`, reason: `duplicate ${kind} "${name}"` }],
  );
}

function formatOperation(operation: documents.Operation | undefined): string {
  return operation === undefined ? "" : `${operation.method} ${operation.path}`;
}
