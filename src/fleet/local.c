#include "fleet/local.h"

static bool
has_left(const struct brf_local_target *l, const char *id, uint64_t born)
{
	size_t i, n = l->left_count < BRF_LOCAL_TARGET_LEFT_MAX
			  ? l->left_count
			  : BRF_LOCAL_TARGET_LEFT_MAX;

	for (i = 0; i < n; i++) {
		if (strcmp(l->left[i].id, id) == 0 && born <= l->left[i].born)
			return (true);
	}
	return (false);
}

static void
remember_left(struct brf_local_target *l, const char *id, uint64_t born)
{
	struct brf_incarnation *incarnation =
	    &l->left[l->left_count++ % BRF_LOCAL_TARGET_LEFT_MAX];

	brf_copy_name(incarnation->id, sizeof(incarnation->id), id);
	incarnation->born = born;
}

static bool
is_current(const struct brf_local_target *l, const char *id)
{
	return (l->known && strcmp(l->current.id, id) == 0);
}

enum brf_announce_result
brf_local_target_announce(struct brf_local_target *l,
    const struct brf_target_announcement *announcement)
{
	bool same = is_current(l, announcement->id) &&
		    announcement->born == l->current.born;

	if (has_left(l, announcement->id, announcement->born))
		return (BRF_ANNOUNCE_STALE);
	if (same && announcement->sequence <= l->current.sequence)
		return (BRF_ANNOUNCE_STALE);
	if (l->known && !same && announcement->born < l->current.born)
		return (BRF_ANNOUNCE_STALE);
	if (l->known && !same)
		remember_left(l, l->current.id, l->current.born);
	l->current = *announcement;
	l->known = true;
	return (same ? BRF_ANNOUNCE_UPDATED : BRF_ANNOUNCE_REPLACED);
}

bool
brf_local_target_leave(struct brf_local_target *l, const char *id)
{
	bool current = is_current(l, id);

	/* an incarnation not yet known may still be announced late */
	remember_left(l, id, current ? l->current.born : UINT64_MAX);
	if (current)
		l->current.state = BRF_TARGET_LEFT;
	return (current);
}
