/**
 * Bundles the command line into target/. Reading a few bundled files starts faster than loading a
 * thousand modules.
 */
import * as esbuild from "esbuild";

await esbuild.build({
  entryPoints: ["bin/ebonyhook.ts"],
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  splitting: true,
  minifySyntax: true,
  outbase: ".",
  outdir: "target",
  sourcemap: false,
  logLevel: "warning",
  // Bundled CommonJS dependencies call `require`, which an ES module does not define.
  banner: {
    js: 'import { createRequire as createRequireOfBundle } from "node:module"; const require = createRequireOfBundle(import.meta.url);',
  },
});
