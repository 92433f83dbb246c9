/** Form page of one item, with each fault next to its field. */
import type * as documents from "../settings/document.js";
import * as kinds from "./field-kinds.js";
import * as html from "./html.js";
import * as page from "./page.js";
import type * as sections from "./sections.js";
import * as workingDocuments from "./working-document.js";

/** Contents of an item's form. */
export interface ItemForm {
  readonly title: string;
  /** Path of the item in the document; empty for the document itself. */
  readonly path: string;
  readonly item: workingDocuments.JsonObject;
  readonly fields: readonly sections.Field[];
  readonly document: workingDocuments.JsonObject;
  /** Faults of the whole document. */
  readonly faults: readonly documents.DocumentFault[];
  /** Value that the Save button submits, such as `save runners 0`. */
  readonly saveAction: string;
  /** Confirmation shown after the values were saved. */
  readonly notice: string | undefined;
}

/** Prefix of the names of field inputs in the submitted form. */
export const FIELD_PREFIX = "field.";

/** Renders the form page of an item. */
export function renderItemPage(state: page.PageState, form: ItemForm): string {
  const itemFaults = form.faults.filter((fault) => isPathWithin(fault.path, form.path));
  const summaryFaults = form.path === "" ? [] : itemFaults;
  const inputs = form.fields.map((field) => renderField(form, field, listFieldFaults(form, field)));
  const notice =
    form.notice === undefined
      ? undefined
      : html.renderHtml`<p class="notice" role="status">${form.notice}</p>`;
  const content = html.renderHtml`${notice}
${summaryFaults.length === 0 ? undefined : page.renderFaults(summaryFaults)}
${inputs}
<p>${page.renderButton(form.saveAction, "Save")}</p>`;
  return page.renderPage(form.title, page.renderDocumentForm(state, content, form.saveAction));
}

/** Returns whether the path of a fault is `path` or lies below it. */
export function isPathWithin(faultPath: string, path: string): boolean {
  if (path === "" || faultPath === path) return true;
  return faultPath.startsWith(`${path}.`) || faultPath.startsWith(`${path}[`);
}

function listFieldFaults(
  form: ItemForm,
  field: sections.Field,
): readonly documents.DocumentFault[] {
  const path = form.path === "" ? field.key : `${form.path}.${field.key}`;
  return form.faults.filter((fault) => isPathWithin(fault.path, path));
}

function renderField(
  form: ItemForm,
  field: sections.Field,
  faults: readonly documents.DocumentFault[],
): html.SafeHtml {
  const id = field.key.replaceAll(".", "-");
  const hint =
    field.hint === undefined
      ? undefined
      : html.renderHtml`<span class="hint" id="${id}-hint">${field.hint}</span>`;
  const faultList = faults.map(
    (fault) => html.renderHtml`<span>${formatFault(form, fault)}</span>`,
  );
  const faultMessage =
    faults.length === 0
      ? undefined
      : html.renderHtml`<span class="fault" id="${id}-fault">${faultList}</span>`;
  const value = kinds.formatFieldValue(
    field.kind,
    workingDocuments.findValue(form.item, field.key),
    field.columns,
  );
  const describedBy = [
    ...(hint === undefined ? [] : [`${id}-hint`]),
    ...(faultMessage === undefined ? [] : [`${id}-fault`]),
  ].join(" ");
  const attributes = html.renderHtml`id="${id}" name="${FIELD_PREFIX}${field.key}" aria-describedby="${describedBy}" aria-invalid="${faults.length === 0 ? "false" : "true"}"`;
  const input = INPUT_RENDERERS[field.kind](
    attributes,
    value,
    workingDocuments.listOptions(form.document, field),
  );
  return html.renderHtml`<div class="field"><label for="${id}">${field.label}</label>${hint}
${input}${faultMessage}</div>`;
}

/** Prefixes a fault inside a list with its line number, since the field shows the list as lines. */
function formatFault(form: ItemForm, fault: documents.DocumentFault): string {
  const inner = /\[(\d+)\](.*)$/.exec(fault.path.slice(form.path.length));
  if (inner === null) return fault.reason;
  const [, index = "0", rest = ""] = inner;
  return `line ${Number(index) + 1}${rest.replace(".", " ")}: ${fault.reason}`;
}

type InputRenderer = (
  attributes: html.SafeHtml,
  value: string,
  options: readonly string[],
) => html.SafeHtml;

const INPUT_RENDERERS: Record<kinds.FieldKind, InputRenderer> = {
  [kinds.FIELD_KIND.text]: (attributes, value) =>
    html.renderHtml`<input type="text" ${attributes} value="${value}">`,
  [kinds.FIELD_KIND.number]: (attributes, value) =>
    html.renderHtml`<input type="text" inputmode="decimal" ${attributes} value="${value}">`,
  [kinds.FIELD_KIND.yesNo]: renderSelect,
  [kinds.FIELD_KIND.choice]: renderSelect,
  [kinds.FIELD_KIND.lines]: renderTextArea,
  [kinds.FIELD_KIND.rows]: renderTextArea,
  [kinds.FIELD_KIND.credential]: (attributes) =>
    html.renderHtml`<input type="password" autocomplete="new-password" ${attributes} value="">`,
};

function renderTextArea(attributes: html.SafeHtml, value: string): html.SafeHtml {
  return html.renderHtml`<textarea rows="5" cols="60" spellcheck="false" ${attributes}>
${value}</textarea>`;
}

/**
 * Renders a select. A value that is not an option stays selected, so that saving does not change it
 * silently.
 */
function renderSelect(
  attributes: html.SafeHtml,
  value: string,
  options: readonly string[],
): html.SafeHtml {
  const all = options.includes(value) ? options : [value, ...options];
  const entries = all.map((option) => {
    const selected = option === value ? html.renderHtml` selected` : undefined;
    return html.renderHtml`<option value="${option}"${selected}>${option}</option>`;
  });
  return html.renderHtml`<select ${attributes}>${entries}</select>`;
}
