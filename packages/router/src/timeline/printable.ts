/** Sanitizes untrusted text for terminals and HTML. */

/** Maximum length of untrusted text in the output, in characters. */
const maxShownLength = 512;

/**
 * Replaces control and formatting characters, such as bidirectional overrides,
 * by "?" and truncates long text, so that a value cannot forge lines or send
 * escape sequences to a terminal.
 */
export const toPrintable = (value: unknown): string => {
  const text = String(value).replace(
    /[\p{Cc}\p{Cf}\p{Co}\p{Cs}\u2028\u2029]/gu,
    '?',
  );
  return text.length > maxShownLength
    ? `${text.slice(0, maxShownLength)}…`
    : text;
};

const entities: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/** Escapes a value for HTML text and attributes, after `toPrintable`. */
export const escapeHtml = (value: unknown): string =>
  toPrintable(value).replace(/[&<>"']/g, match => entities[match] ?? '');
