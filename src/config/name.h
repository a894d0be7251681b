#ifndef BRF_NAME_H
#define BRF_NAME_H

#include "base/base.h"

BRF_BEGIN_DECLS

/**
 * brf_name_valid() - whether @len bytes at @s may name a service, workspace,
 * zone or edit: 1 to BRF_NAME_MAX letters, digits, '.', '_' or '-' of ASCII.
 */
bool brf_name_valid(const char *s, size_t len);

BRF_END_DECLS

#endif
