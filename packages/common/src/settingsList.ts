/** Lists the settings of a schema, for overrides and for the generated settings page. */
import { z } from 'zod';
import { isRecord } from './typeChecks.js';

/** One setting of a settings file. */
export interface SettingEntry {
  readonly section: string;
  readonly key: string;
  /** The environment variable that overrides it. */
  readonly variable: string;
  readonly description: string;
  readonly isRequired: boolean;
  /** The default value. */
  readonly fallback: string;
  /** Description of the accepted values. */
  readonly values: string;
}

/** Lists the settings of all sections, in the schema's order. */
export const listSettings = (schema: z.ZodType): SettingEntry[] => {
  const root: unknown = z.toJSONSchema(schema, {
    io: 'input',
    unrepresentable: 'any',
  });
  return listProperties(root).flatMap(([section, value]) =>
    listProperties(value).map(([key, setting]) =>
      describeSetting(section, key, setting, listRequired(value)),
    ),
  );
};

const listProperties = (schema: unknown): [string, unknown][] =>
  isRecord(schema) && isRecord(schema.properties)
    ? Object.entries(schema.properties)
    : [];

const listRequired = (schema: unknown): readonly unknown[] =>
  isRecord(schema) && Array.isArray(schema.required) ? schema.required : [];

const describeSetting = (
  section: string,
  key: string,
  schema: unknown,
  required: readonly unknown[],
): SettingEntry => {
  const setting = isRecord(schema) ? schema : {};
  return {
    section,
    key,
    variable: formatVariableName(section, key),
    description:
      typeof setting.description === 'string' ? setting.description : '',
    isRequired: required.includes(key) && setting.default === undefined,
    fallback:
      setting.default === undefined ? '' : formatFallback(setting.default),
    values: describeValues(setting),
  };
};

const formatFallback = (value: unknown): string =>
  typeof value === 'string' ? value : JSON.stringify(value);

const formatVariableName = (section: string, key: string): string => {
  const words = `${section}_${key}`.replace(/([a-z])([A-Z])/g, '$1_$2');
  return `LYCHEETALLY_${words.toUpperCase()}`;
};

const describeValues = (setting: Record<string, unknown>): string => {
  if (Array.isArray(setting.enum)) {
    return setting.enum.map(String).join(' or ');
  }
  const { minimum, maximum } = setting;
  if (typeof minimum === 'number' && typeof maximum === 'number') {
    return `${String(minimum)} to ${String(maximum)}`;
  }
  return 'text';
};
