/** Makes text that came from outside safe to show. */

/** The longest foreign text that is shown, in characters. */
const maxShownLength = 512;

/**
 * Replaces control characters, and those that turn or hide text, by "?", and
 * cuts long text, so that a value cannot forge lines or steer a terminal.
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
