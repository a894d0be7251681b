#ifndef BRF_NAME_H
#define BRF_NAME_H

#include "base/base.h"

BRF_BEGIN_DECLS

/**
 * brf_name_valid() - check the name of a service, workspace, zone or edit.
 * @s: @len bytes, not necessarily terminated
 *
 * Return: whether the name consists of 1 to BRF_NAME_MAX ASCII letters, digits,
 * '.', '_' or '-'.
 */
bool brf_name_valid(const char *s, size_t len);

BRF_END_DECLS

#endif
