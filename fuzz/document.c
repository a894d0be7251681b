#include <stdlib.h>

#include "bulrushford.h"
#include "config/document.h"

/* libFuzzer's name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
check(const struct brf_document *d)
{
	size_t i;

	if (d->retry_ratio < 0.0 || d->retry_ratio > 0.5)
		abort();
	for (i = 0; i < d->rule_count; i++) {
		if (d->rules[i].cls >= BRF_CLASSES ||
		    d->rules[i].timeout_us == 0 ||
		    d->rules[i].timeout_us > BRF_TIMEOUT_MAX_MS * BRF_US_PER_MS)
			abort();
		if (brf_document_rule(
			d, d->rules[i].method, d->rules[i].path) == NULL)
			abort();
	}
	for (i = 0; i < d->weight_count; i++) {
		if (brf_document_weight(d, d->weights[i].workspace) !=
		    d->weights[i].weight)
			abort();
	}
}

/* A document is either valid and within all bounds, or has problems. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct brf_problems problems;
	struct brf_document *d;

	d = brf_document_parse((const char *)data, size, NULL, &problems);
	if ((d != NULL) != (problems.count == 0))
		abort();
	if (d != NULL)
		check(d);
	brf_problems_free(&problems);
	brf_document_unref(d);
	return (0);
}
