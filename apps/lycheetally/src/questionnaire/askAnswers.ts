/** Prompts for the answers of the questionnaire on the terminal. */
import { checkbox, confirm, input, number, select } from '@inquirer/prompts';
import { ServiceKind } from '@lycheetally/decisions';
import type { Answers } from './answers.js';

const namePattern = /^[A-Za-z0-9_-]{1,64}$/;

const checkName = (text: string): true | string =>
  namePattern.test(text) || 'Use 1 to 64 letters, digits, "_" or "-".';

const checkNames = (text: string): true | string =>
  parseNames(text).length > 0 &&
  parseNames(text).every(name => namePattern.test(name))
    ? true
    : 'Enter names separated by commas.';

const parseNames = (text: string): string[] =>
  text
    .split(',')
    .map(name => name.trim())
    .filter(name => name !== '');

const requestNames = async (message: string): Promise<string[]> =>
  parseNames(await input({ message, validate: checkNames }));

const requestNumber = async (
  message: string,
  fallback: number,
  max: number,
): Promise<number> =>
  (await number({ message, default: fallback, min: 0, max })) ?? fallback;

/** Prompts for all answers. */
export const requestAnswers = async (): Promise<Answers> => {
  const name = await input({ message: 'Name of the organisation:' });
  const region = await input({ message: 'Region:', validate: checkName });
  const failureDomains = await requestNames('Failure domains of the region:');
  const accounts = await requestNames('Client accounts:');
  const ranks = await requestNames('Ranks, the most urgent first:');
  const services = await requestNames('Services:');
  return {
    organisation: { name, region, failureDomains },
    rank: await requestRanks(ranks),
    service: await requestServices(services, accounts),
    accounts: { names: accounts },
  };
};

const requestRanks = async (
  names: readonly string[],
): Promise<Answers['rank']> => {
  const ranks: Answers['rank'] = {};
  for (const [urgency, name] of names.entries()) {
    const maxTargetMs = 7 * 24 * 60 * 60 * 1_000;
    ranks[name] = {
      urgency,
      targetMs: await requestNumber(
        `Target of rank ${name} for the first token or the answer, in ms:`,
        1_200 * 10 ** urgency,
        maxTargetMs,
      ),
      floor: await number({
        message: `Share of capacity reserved for rank ${name} under overload (0 to 1):`,
        default: 0.1,
        min: 0,
        max: 1,
        step: 'any',
      }),
    };
  }
  return ranks;
};

const requestServices = async (
  names: readonly string[],
  accounts: readonly string[],
): Promise<Answers['service']> => {
  const services: Answers['service'] = {};
  for (const name of names) {
    services[name] = await requestService(name, accounts);
  }
  return services;
};

const requestService = async (
  name: string,
  accounts: readonly string[],
): Promise<Record<string, unknown>> => {
  const kind = await select({
    message: `What is service ${name}?`,
    choices: [
      { name: 'a model', value: ServiceKind.Model },
      { name: 'a plain service', value: ServiceKind.Plain },
    ],
  });
  const isModel = kind === ServiceKind.Model;
  const maxLayers = 100_000;
  return {
    kind,
    layers: isModel
      ? await requestNumber('Layers of the whole model:', 48, maxLayers)
      : 0,
    workers: await requestNumber('Backend servers:', isModel ? 40 : 3, 10_000),
    idempotent: await confirm({
      message: 'Is it safe to repeat a call that may already have run?',
      default: isModel,
    }),
    checksFencing: await confirm({
      message:
        'Do its backend servers reject operations with outdated fencing tokens?',
      default: false,
    }),
    accounts: await checkbox({
      message: 'Client accounts that use it:',
      choices: accounts.map(account => ({ value: account, checked: true })),
    }),
  };
};
