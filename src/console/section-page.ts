/** List page of a section's items. */
import type * as documents from "../settings/document.js";
import * as kinds from "./field-kinds.js";
import * as html from "./html.js";
import * as itemPage from "./item-page.js";
import * as page from "./page.js";
import * as sections from "./sections.js";
import * as workingDocuments from "./working-document.js";

const MAX_SHOWN_FIELDS = 5;

/** Renders the list page of a section. */
export function renderSectionPage(
  state: page.PageState,
  name: sections.SectionName,
  document: workingDocuments.JsonObject,
  faults: readonly documents.DocumentFault[],
): string {
  const section = sections.SECTIONS[name];
  const items = workingDocuments.listItems(document, name);
  const fields = section.fields
    .filter((field) => field.kind !== kinds.FIELD_KIND.rows && field.key !== "credential")
    .filter((field) => field.key !== "credentialSha256")
    .slice(0, MAX_SHOWN_FIELDS);
  const header = fields.map((field) => html.renderHtml`<th scope="col">${field.label}</th>`);
  const rows = items.map((item, index) => {
    const path = `${name}[${index}]`;
    const itemFaults = faults.filter((fault) => itemPage.isPathWithin(fault.path, path));
    return renderRow(name, index, item, fields, itemFaults.length);
  });
  const content = html.renderHtml`<table>
<thead><tr>${header}<th scope="col">Faults</th><th scope="col">Actions</th></tr></thead>
<tbody>${rows}</tbody>
</table>
<p>${page.renderButton(`add ${name}`, `Add a ${section.itemTitle}`)}</p>`;
  return page.renderPage(section.title, page.renderDocumentForm(state, content));
}

function renderRow(
  name: sections.SectionName,
  index: number,
  item: workingDocuments.JsonObject,
  fields: readonly sections.Field[],
  faultCount: number,
): html.SafeHtml {
  const cells = fields.map((field) => {
    const value = workingDocuments.findValue(item, field.key);
    return html.renderHtml`<td>${kinds.formatFieldValue(field.kind, value, field.columns)}</td>`;
  });
  const about = formatItemName(item, index);
  return html.renderHtml`<tr>${cells}<td>${faultCount === 0 ? "none" : faultCount}</td>
<td>${page.renderButton(`edit ${name} ${index}`, "Edit", about)}
${page.renderButton(`remove ${name} ${index}`, "Remove", about)}</td></tr>`;
}

/** Formats the display name of an item: its name, or its position if it has none. */
export function formatItemName(item: workingDocuments.JsonObject, index: number): string {
  const name = kinds.formatFieldValue(kinds.FIELD_KIND.text, item.name);
  return name === "" ? `number ${index + 1}` : name;
}
