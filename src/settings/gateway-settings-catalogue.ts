/** Settings of `ebonyhook gateway` in addition to those that its platform supplies. */
import * as zod from "zod";
import * as nodeCatalogue from "./node-settings-catalogue.js";

/** Validated settings. */
export interface GatewaySettings {
  readonly fleetKeys: readonly string[];
  readonly logLevel: "error" | "warn" | "info" | "debug";
  /** Port of the metrics endpoint; `undefined` disables it. */
  readonly metricsPort: number | undefined;
  /** OTLP/HTTP endpoint of traces; `undefined` disables tracing. */
  readonly otlpUrl: string | undefined;
}

/** Definitions of the settings, by key of `GatewaySettings`. */
export const GATEWAY_SETTINGS = {
  fleetKeys: nodeCatalogue.NODE_SETTINGS.fleetKeys,
  logLevel: nodeCatalogue.NODE_SETTINGS.logLevel,
  metricsPort: {
    flag: "metrics-port",
    description: "port that serves the metrics at /metrics; without one they are not served",
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

/** Settings as text, before validation. */
export type RawGatewaySettings = Readonly<Partial<Record<keyof GatewaySettings, string>>>;

/** Result of validating settings. */
export type GatewaySettingsCheck =
  | { readonly ok: true; readonly settings: GatewaySettings }
  | { readonly ok: false; readonly faults: readonly string[] };

/**
 * Validates settings given as text. Faults name the flag and the variable but not the value, which
 * may be secret.
 */
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
