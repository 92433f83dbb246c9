/** Stylesheet of the console. */

/** CSS served at `/style.css`. */
export const STYLE = `
:root { color-scheme: light dark; font-family: system-ui, sans-serif; line-height: 1.4; }
body { margin: 0; }
header { padding: 0.6rem 1.5rem; border-bottom: 1px solid #8888; font-weight: 600; }
main { padding: 0 1.5rem 2rem; max-width: 75rem; }
form.document { display: flex; flex-direction: column; gap: 0.8rem; }
nav { display: flex; flex-wrap: wrap; gap: 0.4rem; padding-bottom: 0.8rem;
  border-bottom: 1px solid #8888; }
button, input, select, textarea { font: inherit; padding: 0.3rem 0.6rem; }
input[type="text"], input[type="password"], select { min-width: 20rem; }
textarea { max-width: 100%; font-family: ui-monospace, monospace; }
label { display: block; font-weight: 600; }
.hint { display: block; opacity: 0.8; font-size: 0.9rem; }
.fault { display: block; color: #b3261e; font-weight: 600; }
.fault span { display: block; }
[aria-invalid="true"] { outline: 2px solid #b3261e; }
.alert { border-left: 4px solid #b3261e; padding: 0.2rem 1rem; background: #b3261e18; }
.notice { border-left: 4px solid #2e7d32; padding: 0.5rem 1rem; background: #2e7d3218; }
table { border-collapse: collapse; }
th, td { text-align: left; padding: 0.3rem 0.8rem; border-bottom: 1px solid #8884; }
pre { overflow-x: auto; padding: 0.8rem; border: 1px solid #8886; }
.hidden, .skip:not(:focus) { position: absolute; width: 1px; height: 1px; overflow: hidden;
  clip-path: inset(50%); white-space: nowrap; padding: 0; border: 0; }
@media (prefers-color-scheme: dark) {
  .fault { color: #f2b8b5; }
}
`;
