import eslint from "@eslint/js";
import * as config from "eslint/config";
import * as tseslint from "typescript-eslint";

export default config.defineConfig(
  { ignores: ["dist/", "node_modules/", "bench-out/", "target/"] },
  eslint.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: {
          allowDefaultProject: ["eslint.config.js", "deploy/bundle.mjs", ".ci/known-red.mjs"],
        },
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true }],
      "@typescript-eslint/prefer-readonly": "error",
      // Variables prefixed with "_" are not read: they hold a resource until the end of their scope.
      "@typescript-eslint/no-unused-vars": [
        "error",
        { varsIgnorePattern: "^_", argsIgnorePattern: "^_" },
      ],
      "no-restricted-syntax": [
        "error",
        { selector: "TSEnumDeclaration", message: "Use a constant object in place of an enum." },
        {
          selector: "ImportDeclaration > ImportSpecifier",
          message: "Use a namespace import: import * as Name from ...",
        },
        {
          selector: "ImportDeclaration > ImportDefaultSpecifier",
          message: "Use a namespace import: import * as Name from ...",
        },
        {
          selector:
            "PropertyDefinition[accessibility='private'], MethodDefinition[accessibility='private']",
          message: "Use a #private name.",
        },
      ],
    },
  },
  { files: ["eslint.config.js"], rules: { "no-restricted-syntax": "off" } },
  {
    files: ["test/**/*.ts"],
    // The test runner awaits the promises that `describe` and `it` of node:test return.
    rules: {
      "@typescript-eslint/no-floating-promises": [
        "error",
        {
          allowForKnownSafeCalls: [
            { from: "package", package: "node:test", name: ["describe", "suite", "it", "test"] },
          ],
        },
      ],
    },
  },
);
