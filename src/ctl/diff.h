#ifndef BRF_CTL_DIFF_H
#define BRF_CTL_DIFF_H

#include "base/buf.h"

BRF_BEGIN_DECLS

/**
 * brf_diff() - compare two texts by line.
 * @out: gets all lines, each after "-" if only in @from, "+" if only in @to, or
 *	" " if in both
 *
 * Common lines are those of the longest common subsequence.  If a text has
 * more than 2,000 lines, no lines are taken as common.
 *
 * Return: whether the texts differ.
 */
bool brf_diff(const char *from, size_t from_len, const char *to, size_t to_len,
    struct brf_buf *out);

BRF_END_DECLS

#endif
