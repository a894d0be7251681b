#include <stdlib.h>

#include <xxhash.h>

#include "target.h"

#define BUCKETS 65536u

struct run {
	struct run *next;
	uint32_t count;
	char tag[];
};

struct run_table {
	struct run *buckets[BUCKETS];
};

struct run_table *
runs_new(void)
{
	return (brf_calloc(1, sizeof(struct run_table)));
}

void
runs_free(struct run_table *runs)
{
	struct run *run;
	size_t i;

	for (i = 0; i < BUCKETS; i++) {
		while ((run = runs->buckets[i]) != NULL) {
			runs->buckets[i] = run->next;
			free(run);
		}
	}
	free(runs);
}

uint32_t *
runs_count(struct run_table *runs, const char *tag)
{
	size_t len = strlen(tag);
	struct run **slot = &runs->buckets[XXH3_64bits(tag, len) % BUCKETS];
	struct run *run;

	for (run = *slot; run != NULL; run = run->next) {
		if (strcmp(run->tag, tag) == 0)
			return (&run->count);
	}
	run = brf_calloc(1, sizeof(*run) + len + 1);
	memcpy(run->tag, tag, len);
	run->next = *slot;
	*slot = run;
	return (&run->count);
}

void
runs_each(struct run_table *runs,
    void (*fn)(void *arg, const char *tag, uint32_t count), void *arg)
{
	struct run *run;
	size_t i;

	for (i = 0; i < BUCKETS; i++) {
		for (run = runs->buckets[i]; run != NULL; run = run->next) {
			if (run->count != 0)
				fn(arg, run->tag, run->count);
		}
	}
}
