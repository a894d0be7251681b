#ifndef BRF_MESH_REPORT_MEMORY_H
#define BRF_MESH_REPORT_MEMORY_H

#include "base/list.h"
#include "fleet/entry.h"
#include "policy/self_report.h"

/**
 * DOC: Statements of targets that the directory does not have, or not yet in
 * this incarnation.
 *
 * An entry may lapse while its target goes on, and the reply of a new
 * incarnation may arrive before its entry does.  What this node has passed on
 * to its callers binds it all the same when the entry comes.
 */

/* How long, and for how many targets, statements are remembered. */
#define BRF_REPORT_MEMORY_US (300 * BRF_US_PER_S)
#define BRF_REPORT_MEMORY_MAX 1024u

/**
 * struct brf_report_memory - zeroed, then brf_report_memory_init().
 * @list: the remembered statements, the oldest first; @count of them
 */
struct brf_report_memory {
	struct brf_list list;
	size_t count;
};

BRF_BEGIN_DECLS

void brf_report_memory_init(struct brf_report_memory *m);
void brf_report_memory_finish(struct brf_report_memory *m);

/**
 * brf_report_memory_put() - remember @report, or forget what is remembered of
 * this incarnation when @report has neither a limit nor says that it leaves.
 */
void brf_report_memory_put(struct brf_report_memory *m, const char *id,
    uint64_t born, const struct brf_self_report *report, uint64_t now);

/**
 * brf_report_memory_take() - look for the report of an incarnation and forget
 * it.
 *
 * Return: whether there was one.
 */
bool brf_report_memory_take(struct brf_report_memory *m, const char *id,
    uint64_t born, struct brf_self_report *report, uint64_t now);

BRF_END_DECLS

#endif
