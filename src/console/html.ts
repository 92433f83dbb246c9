/** HTML whose interpolated values are escaped. */

const ESCAPES: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
  "'": "&#39;",
};

/** Text that is HTML already. */
export class SafeHtml {
  readonly text: string;

  constructor(text: string) {
    this.text = text;
  }
}

/** What a template may hold: strings are escaped, lists joined, `undefined` left out. */
export type HtmlValue = string | number | SafeHtml | undefined | readonly HtmlValue[];

/**
 * Renders a template; every value but `SafeHtml` is escaped. Attribute values must be quoted.
 *
 * @example renderHtml`<p title="${title}">${text}</p>`;
 */
export function renderHtml(parts: TemplateStringsArray, ...values: readonly HtmlValue[]): SafeHtml {
  let text = parts[0] ?? "";
  values.forEach((value, index) => {
    text += formatHtmlValue(value) + (parts[index + 1] ?? "");
  });
  return new SafeHtml(text);
}

function formatHtmlValue(value: HtmlValue): string {
  if (value === undefined) return "";
  if (value instanceof SafeHtml) return value.text;
  if (typeof value === "string") return value.replace(/[&<>"']/g, formatEscape);
  if (typeof value === "number") return String(value);
  return value.map(formatHtmlValue).join("");
}

function formatEscape(character: string): string {
  return ESCAPES[character] ?? "";
}
