/** Types of message fields whose constant objects are declared in other packages. */
export type { ValueOf } from '@lycheetally/common';

export type ServiceKind = 'model' | 'plain';
