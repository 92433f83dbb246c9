/** The page at `/`, on which the operator opens the document to edit. */
import * as html from "./html.js";
import * as page from "./page.js";

/**
 * Renders the page.
 *
 * @param hasPlatform - whether the published document can be opened.
 * @param reasons - reasons why a document could not be opened.
 */
export function renderOpenPage(hasPlatform: boolean, reasons: readonly string[] = []): string {
  const alert =
    reasons.length === 0 ? undefined : page.renderAlert("The document was not opened", reasons);
  const platform = hasPlatform
    ? html.renderHtml`<p>${page.renderButton("platform", "Edit the document in force")}</p>`
    : html.renderHtml`<p>Start the console with <code>--platform-url</code> to edit the document in force.</p>`;
  const content = html.renderHtml`${alert}
<p>The console changes nothing in the fleet. Its only output is one validated document, which you publish.</p>
<form method="post" action="/open" enctype="multipart/form-data" autocomplete="off">
${platform}
<p><label for="file">A document's file</label>
<input type="file" id="file" name="file" accept=".json,application/json">
${page.renderButton("file", "Edit this file")}</p>
<p><label for="text">A document's text</label>
<textarea id="text" name="text" rows="8" cols="80" spellcheck="false"></textarea></p>
<p>${page.renderButton("text", "Edit this text")}
${page.renderButton("empty", "Begin with an empty document")}</p>
</form>`;
  return page.renderPage("Open a document", content);
}
