/** Page layout and components shared by the console's pages. */
import type * as documents from "../settings/document.js";
import * as html from "./html.js";
import * as sections from "./sections.js";

/** State that each form carries in hidden fields. */
export interface PageState {
  /** The document being edited, as JSON. */
  readonly documentText: string;
  /** Revision of the document that editing started from; empty if there was none. */
  readonly baseRevision: string;
  /** Digest of that document. */
  readonly baseDigest: string;
}

/** Renders a complete HTML page. */
export function renderPage(title: string, content: html.SafeHtml): string {
  const page = html.renderHtml`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>${title} · ebonyhook console</title>
<link rel="stylesheet" href="/style.css">
</head>
<body>
<a class="skip" href="#content">Skip to content</a>
<header><a href="/">ebonyhook console</a></header>
<main id="content">
<h1>${title}</h1>
${content}
</main>
</body>
</html>`;
  return page.text;
}

/**
 * Renders a form with the document in hidden fields and the section menu above the content.
 *
 * @param defaultAction - action of the Enter key; without one it activates the first menu button.
 */
export function renderDocumentForm(
  state: PageState,
  content: html.SafeHtml,
  defaultAction?: string,
): html.SafeHtml {
  return html.renderHtml`<form method="post" action="/edit" class="document" autocomplete="off">
<input type="hidden" name="document" value="${state.documentText}">
<input type="hidden" name="baseRevision" value="${state.baseRevision}">
<input type="hidden" name="baseDigest" value="${state.baseDigest}">
${defaultAction === undefined ? undefined : renderDefaultButton(defaultAction)}
${renderMenu()}
${content}
</form>`;
}

/**
 * Renders a submit button for an action.
 *
 * @param about - text for screen readers only, which tells buttons with the same label apart.
 */
export function renderButton(action: string, label: string, about?: string): html.SafeHtml {
  const extra =
    about === undefined ? undefined : html.renderHtml`<span class="hidden"> ${about}</span>`;
  return html.renderHtml`<button name="action" value="${action}">${label}${extra}</button>`;
}

/** Renders an alert with several lines, which screen readers announce immediately. */
export function renderAlert(title: string, lines: readonly html.HtmlValue[]): html.SafeHtml {
  const items = lines.map((line) => html.renderHtml`<li>${line}</li>`);
  return html.renderHtml`<div class="alert" role="alert"><p>${title}</p><ul>${items}</ul></div>`;
}

/** Renders faults with their paths. */
export function renderFaults(faults: readonly documents.DocumentFault[]): html.SafeHtml {
  const lines = faults.map(
    (fault) =>
      html.renderHtml`<code>${fault.path === "" ? "document" : fault.path}</code>: ${fault.reason}`,
  );
  const title = faults.length === 1 ? "1 fault" : `${faults.length} faults`;
  return renderAlert(title, lines);
}

/** Renders the hidden first button of a form, which the Enter key activates. */
function renderDefaultButton(action: string): html.SafeHtml {
  return html.renderHtml`<button name="action" value="${action}" class="hidden" tabindex="-1" aria-hidden="true">Save</button>`;
}

function renderMenu(): html.SafeHtml {
  const entries = sections
    .listSectionNames()
    .map((name) => renderButton(`section ${name}`, sections.SECTIONS[name].title));
  return html.renderHtml`<nav aria-label="Sections">
${renderButton("top", "Operator and revision")}
${entries}
${renderButton("review", "Review and download")}
</nav>`;
}
