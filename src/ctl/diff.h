#ifndef BRF_CTL_DIFF_H
#define BRF_CTL_DIFF_H

#include "base/buf.h"

BRF_BEGIN_DECLS

/**
 * brf_diff() - lines that differ between two texts, by their longest common
 * subsequence: "-" for those of @from alone, "+" for those of @to alone, and
 * " " for common ones.
 *
 * Texts of more than 2,000 lines are shown as wholly different.
 *
 * Return: whether they differ.
 */
bool brf_diff(const char *from, size_t from_len, const char *to, size_t to_len,
    struct brf_buf *out);

BRF_END_DECLS

#endif
