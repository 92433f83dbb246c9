/** Settings of `ebonyhook gateway` beside those that its platform gives. */
import * as zod from "zod";
import * as nodeCatalogue from "./node-settings-catalogue.js";

/** Checked settings. */
export interface GatewaySettings {
  readonly fleetKeys: readonly string[];
  readonly logLevel: "error" | "warn" | "info" | "debug";
  /** Port of the metrics; without one they are not served. */
  readonly metricsPort: number | undefined;
  /** Where spans are exported; without it none is recorded. */
  readonly otlpUrl: string | undefined;
}

/** The settings by their key in `GatewaySettings`. */
export const GATEWAY_SETTINGS = {
  fleetKeys: nodeCatalogue.NODE_SETTINGS.fleetKeys,
  logLevel: nodeCatalogue.NODE_SETTINGS.logLevel,
  metricsPort: {
    flag: "metrics-port",
    description: "port of the metrics at /metrics; without one they are not served",
    optional: true,
  },
  otlpUrl: nodeCatalogue.NODE_SETTINGS.otlpUrl,
} as const satisfies Record<keyof GatewaySettings, nodeCatalogue.SettingDefinition>;

const settingsSchema = zod.object({
  fleetKeys: nodeCatalogue.fleetKeysSchema,
  logLevel: nodeCatalogue.logLevelSchema,
  metricsPort: nodeCatalogue.portSchema.optional(),
  otlpUrl: nodeCatalogue.urlSchema.optional(),
});

/** Settings as text, before their check. */
export type RawGatewaySettings = Readonly<Partial<Record<keyof GatewaySettings, string>>>;

/** Outcome of checking settings. */
export type GatewaySettingsCheck =
  | { readonly ok: true; readonly settings: GatewaySettings }
  | { readonly ok: false; readonly faults: readonly string[] };

/** Checks settings given as text; every fault names its flag and variable, never the value. */
export function validateGatewaySettings(raw: RawGatewaySettings): GatewaySettingsCheck {
  const parsed = settingsSchema.safeParse(raw);
  if (parsed.success) {
    const { metricsPort, otlpUrl, ...required } = parsed.data;
    return { ok: true, settings: { ...required, metricsPort, otlpUrl } };
  }
  const faults = parsed.error.issues.map((issue) => {
    const key = issue.path[0] as keyof GatewaySettings;
    return nodeCatalogue.formatFault(GATEWAY_SETTINGS[key], raw[key], issue);
  });
  return { ok: false, faults };
}
