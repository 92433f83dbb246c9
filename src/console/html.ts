/** HTML templates that escape interpolated values. */

const HTML_ESCAPES: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
  "'": "&#39;",
};

/** Text that is already valid HTML and must not be escaped. */
export class SafeHtml {
  readonly text: string;

  constructor(text: string) {
    this.text = text;
  }
}

/** Interpolated value: strings are escaped, lists are concatenated, `undefined` is omitted. */
export type HtmlValue = string | number | SafeHtml | undefined | readonly HtmlValue[];

/**
 * Renders a template and escapes every value except `SafeHtml`. Attribute values must be quoted.
 *
 * @example renderHtml`<p title="${title}">${text}</p>`;
 */
export function renderHtml(
  literals: TemplateStringsArray,
  ...values: readonly HtmlValue[]
): SafeHtml {
  let text = literals[0] ?? "";
  values.forEach((value, index) => {
    text += formatHtmlValue(value) + (literals[index + 1] ?? "");
  });
  return new SafeHtml(text);
}

function formatHtmlValue(value: HtmlValue): string {
  if (value === undefined) return "";
  if (value instanceof SafeHtml) return value.text;
  if (typeof value === "string") return value.replace(/[&<>"']/g, formatEscapedCharacter);
  if (typeof value === "number") return String(value);
  return value.map(formatHtmlValue).join("");
}

function formatEscapedCharacter(character: string): string {
  return HTML_ESCAPES[character] ?? "";
}
