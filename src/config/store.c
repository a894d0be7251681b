#include "base/log.h"
#include "config/store.h"

void
brf_store_learn_epoch(struct brf_store *store, uint64_t epoch)
{
	uint64_t before = store->state->epoch;
	struct brf_list *l, *next;
	struct brf_store_observer *observer;

	if (epoch <= before)
		return;
	store->state->epoch = epoch;
	if (before == 0)
		return;
	brf_log(BRF_LOG_WARN, "store_restored", BRF_LU("epoch", epoch),
	    BRF_LU("before", before));
	brf_list_foreach_safe (l, next, &store->state->observers) {
		observer = brf_list_entry(l, struct brf_store_observer, link);
		observer->restored(observer);
	}
}
