/** Review page: faults, warnings, the diff with its effects, and the download. */
import * as diffs from "../settings/document-diff.js";
import * as effects from "../settings/document-effects.js";
import * as html from "./html.js";
import * as page from "./page.js";
import type * as reviews from "./review.js";

const MS_PER_SECOND = 1000;

/** Renders the review page. */
export function renderReviewPage(state: page.PageState, review: reviews.Review): string {
  const content = html.renderHtml`
${review.warnings.length === 0 ? undefined : page.renderAlert("Before you publish", review.warnings)}
${review.faults.length === 0 ? undefined : page.renderFaults(review.faults)}
${renderNextRevision(review)}
${review.diff === undefined ? undefined : renderDiff(review.diff)}
${renderDownload(review)}`;
  return page.renderPage("Review and download", page.renderDocumentForm(state, content));
}

function renderNextRevision(review: reviews.Review): html.SafeHtml | undefined {
  if (review.nextRevision === undefined) return undefined;
  const button = page.renderButton("revise", `Use revision ${review.nextRevision}`);
  return html.renderHtml`<p>${button}</p>`;
}

function renderDiff(diff: diffs.DocumentDiff): html.SafeHtml {
  if (diff.changes.length === 0)
    return html.renderHtml`<p>No difference from what is in force.</p>`;
  const lines = diff.changes.flatMap(diffs.formatChange).join("\n");
  return html.renderHtml`<h2>Difference from what is in force</h2>
<pre>${lines}</pre>
<h2>What it will do</h2>
${renderEffects(diff.effects)}`;
}

function renderEffects(list: readonly effects.DocumentEffect[]): html.SafeHtml {
  if (list.length === 0) return html.renderHtml`<p>No runner, backend or caller is affected.</p>`;
  const rows = list.map(
    (effect) => html.renderHtml`<tr><td>${effect.kind}</td><td>${effect.target}</td>
<td>${effect.message}</td><td>${effect.loadMs === 0 ? "none" : formatSeconds(effect.loadMs)}</td></tr>`,
  );
  return html.renderHtml`<table>
<thead><tr><th scope="col">Effect</th><th scope="col">On</th><th scope="col">What happens</th>
<th scope="col">Load time alone</th></tr></thead>
<tbody>${rows}</tbody>
</table>
<p>All loads together take at least ${formatSeconds(effects.computeLoadMs(list))} at the weight store's rate.</p>`;
}

function renderDownload(review: reviews.Review): html.SafeHtml {
  if (review.document === undefined) {
    return html.renderHtml`<p>A document with faults can't be downloaded.</p>`;
  }
  return html.renderHtml`<p>The document is valid.
${page.renderButton("download", `Download revision ${review.document.revision}`)}</p>`;
}

function formatSeconds(durationMs: number): string {
  return `${Math.ceil(durationMs / MS_PER_SECOND)} s`;
}
