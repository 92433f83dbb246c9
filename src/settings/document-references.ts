/** Checks of a document that span several of its items: references, duplicates and conflicts. */
import type * as documents from "./document.js";
import * as operations from "./operations.js";

type Fault = documents.DocumentFault;

/** An item that others refer to by its name. */
interface Named {
  readonly name: string;
}

/**
 * Lists the faults of a document whose items are each valid by themselves.
 *
 * @example checkReferences(document).length === 0;
 */
export function checkReferences(document: documents.FleetDocument): Fault[] {
  return [
    ...checkZones(document),
    ...checkCallers(document),
    ...checkModels(document),
    ...checkPools(document),
    ...checkRunners(document),
    ...checkServices(document),
    ...checkLinks(document),
    ...checkAddresses(document),
  ];
}

function checkZones(document: documents.FleetDocument): Fault[] {
  const faults = checkDuplicates("regions", document.regions);
  const regionByZone = new Map<string, string>();
  document.regions.forEach((region, regionIndex) => {
    region.zones.forEach((zone, zoneIndex) => {
      const path = `regions[${regionIndex}].zones[${zoneIndex}]`;
      const other = regionByZone.get(zone);
      if (other !== undefined) {
        faults.push({ path, reason: `zone "${zone}" already stands in region "${other}"` });
      }
      regionByZone.set(zone, region.name);
    });
  });
  return faults;
}

function checkCallers(document: documents.FleetDocument): Fault[] {
  const faults = checkDuplicates("callers", document.callers);
  const models = listNames(document.models);
  const services = listNames(document.services);
  const callerByHash = new Map<string, string>();
  document.callers.forEach((caller, index) => {
    const path = `callers[${index}]`;
    faults.push(...checkKnown(`${path}.models`, "model", caller.models, models));
    faults.push(...checkKnown(`${path}.services`, "service", caller.services, services));
    faults.push(...checkTolerance(`${path}.tolerance`, caller.tolerance));
    const other = callerByHash.get(caller.credentialSha256);
    if (other !== undefined) {
      const reason = `caller "${other}" has the same credential`;
      faults.push({ path: `${path}.credentialSha256`, reason });
    }
    callerByHash.set(caller.credentialSha256, caller.name);
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

function checkModels(document: documents.FleetDocument): Fault[] {
  const faults = checkDuplicates("models", document.models);
  document.models.forEach((model, index) => {
    faults.push(...checkRepeated(`models[${index}].adapters`, "adapter", model.adapters));
  });
  return faults;
}

function checkPools(document: documents.FleetDocument): Fault[] {
  const faults = checkDuplicates("pools", document.pools);
  const models = listNames(document.models);
  document.pools.forEach((pool, index) => {
    const path = `pools[${index}]`;
    if (!models.has(pool.model)) {
      faults.push({ path: `${path}.model`, reason: `unknown model "${pool.model}"` });
      return;
    }
    const partner = pool.role === "prefill" ? "decode" : "prefill";
    const hasPartner = document.pools.some(
      (other) => other.model === pool.model && other.role === partner,
    );
    if (!hasPartner) {
      const reason = `model "${pool.model}" has no ${partner} pool`;
      faults.push({ path: `${path}.role`, reason });
    }
  });
  return faults;
}

function checkRunners(document: documents.FleetDocument): Fault[] {
  const faults = checkDuplicates("runners", document.runners);
  const zones = listZones(document);
  const pools = listNames(document.pools);
  document.runners.forEach((runner, index) => {
    const path = `runners[${index}]`;
    if (!zones.has(runner.zone)) {
      faults.push({ path: `${path}.zone`, reason: `unknown zone "${runner.zone}"` });
    }
    if (!pools.has(runner.pool)) {
      faults.push({ path: `${path}.pool`, reason: `unknown pool "${runner.pool}"` });
    }
  });
  return faults;
}

function checkServices(document: documents.FleetDocument): Fault[] {
  const faults = checkDuplicates("services", document.services);
  const zones = listZones(document);
  document.services.forEach((service, index) => {
    const path = `services[${index}]`;
    faults.push(...checkDuplicates(`${path}.backends`, service.backends));
    service.backends.forEach((backend, backendIndex) => {
      if (zones.has(backend.zone)) return;
      const reason = `unknown zone "${backend.zone}"`;
      faults.push({ path: `${path}.backends[${backendIndex}].zone`, reason });
    });
    faults.push(...checkOperations(`${path}.operations`, service.operations));
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
      .findIndex((other) => operations.isAmbiguous(operation, other));
    if (conflict === -1) return;
    const reason = `overlaps ambiguously with operations[${conflict}] (${formatOperation(list[conflict])})`;
    faults.push({ path: `${path}[${index}]`, reason });
  });
  return faults;
}

function checkLinks(document: documents.FleetDocument): Fault[] {
  const faults: Fault[] = [];
  const zones = listZones(document);
  const seen = new Set<string>();
  document.links.forEach((link, index) => {
    const path = `links[${index}]`;
    for (const end of ["from", "to"] as const) {
      if (zones.has(link[end])) continue;
      faults.push({ path: `${path}.${end}`, reason: `unknown zone "${link[end]}"` });
    }
    const key = JSON.stringify([link.from, link.to]);
    if (seen.has(key)) {
      faults.push({ path, reason: `duplicate link from "${link.from}" to "${link.to}"` });
    }
    seen.add(key);
  });
  return faults;
}

/** Checks that no two upstreams share an address. */
function checkAddresses(document: documents.FleetDocument): Fault[] {
  const faults: Fault[] = [];
  const pathByAddress = new Map<string, string>();
  const checkAddress = (path: string, host: string, port: number): void => {
    const address = `${host}:${port}`;
    const other = pathByAddress.get(address);
    if (other === undefined) {
      pathByAddress.set(address, path);
      return;
    }
    faults.push({ path: `${path}.port`, reason: `address ${address} is also that of ${other}` });
  };
  document.runners.forEach((runner, index) => {
    checkAddress(`runners[${index}]`, runner.host, runner.port);
  });
  document.services.forEach((service, index) => {
    service.backends.forEach((backend, backendIndex) => {
      checkAddress(`services[${index}].backends[${backendIndex}]`, backend.host, backend.port);
    });
  });
  return faults;
}

function checkDuplicates(path: string, items: readonly Named[]): Fault[] {
  const seen = new Set<string>();
  const faults: Fault[] = [];
  items.forEach((item, index) => {
    if (seen.has(item.name)) {
      faults.push({ path: `${path}[${index}].name`, reason: `duplicate name "${item.name}"` });
    }
    seen.add(item.name);
  });
  return faults;
}

function checkKnown(
  path: string,
  kind: string,
  names: readonly string[],
  known: ReadonlySet<string>,
): Fault[] {
  const faults = checkRepeated(path, kind, names);
  names.forEach((name, index) => {
    if (known.has(name)) return;
    faults.push({ path: `${path}[${index}]`, reason: `unknown ${kind} "${name}"` });
  });
  return faults;
}

function checkRepeated(path: string, kind: string, names: readonly string[]): Fault[] {
  return names.flatMap((name, index) =>
    names.indexOf(name) === index
      ? []
      : [{ path: `${path}[${index}]`, reason: `duplicate ${kind} "${name}"` }],
  );
}

function listNames(items: readonly Named[]): ReadonlySet<string> {
  return new Set(items.map((item) => item.name));
}

function listZones(document: documents.FleetDocument): ReadonlySet<string> {
  return new Set(document.regions.flatMap((region) => region.zones));
}

function formatOperation(operation: documents.Operation | undefined): string {
  return operation === undefined ? "" : `${operation.method} ${operation.path}`;
}
