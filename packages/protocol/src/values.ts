/** Values of message fields that are constant objects elsewhere. */
export type { ValueOf } from '@lycheetally/common';

export type ServiceKind = 'model' | 'plain';
