#include "fleet/local.h"

/* Return: the state in which incarnation @born of target @id is remembered;
 * BRF_TARGET_READY when it is not. */
static enum brf_target_state
remembered_state(
    const struct brf_local_target *l, const char *id, uint64_t born)
{
	enum brf_target_state state = BRF_TARGET_READY;
	size_t i, n = l->left_count < BRF_LOCAL_TARGET_LEFT_MAX
			  ? l->left_count
			  : BRF_LOCAL_TARGET_LEFT_MAX;

	for (i = 0; i < n; i++) {
		if (strcmp(l->left[i].id, id) == 0 && born <= l->left[i].born &&
		    l->left[i].state > state)
			state = l->left[i].state;
	}
	return (state);
}

static const struct brf_incarnation *
remember(struct brf_local_target *l, const char *id, uint64_t born,
    enum brf_target_state state)
{
	struct brf_incarnation *incarnation =
	    &l->left[l->left_count++ % BRF_LOCAL_TARGET_LEFT_MAX];

	brf_copy_name(incarnation->id, sizeof(incarnation->id), id);
	incarnation->born = born;
	incarnation->state = state;
	return (incarnation);
}

static const struct brf_incarnation *
remember_left(struct brf_local_target *l, const char *id, uint64_t born)
{
	return (remember(l, id, born, BRF_TARGET_LEFT));
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
	enum brf_target_state state = announcement->state;
	enum brf_target_state before =
	    remembered_state(l, announcement->id, announcement->born);

	if (before == BRF_TARGET_LEFT)
		return (BRF_ANNOUNCE_STALE);
	if (same && announcement->sequence <= l->current.sequence)
		return (BRF_ANNOUNCE_STALE);
	if (l->known && !same && announcement->born < l->current.born)
		return (BRF_ANNOUNCE_STALE);
	if (l->known && !same)
		remember_left(l, l->current.id, l->current.born);
	if (same && l->current.state > state)
		state = l->current.state;
	if (before > state)
		state = before;
	l->current = *announcement;
	l->current.state = state;
	l->known = true;
	return (same ? BRF_ANNOUNCE_UPDATED : BRF_ANNOUNCE_REPLACED);
}

const struct brf_incarnation *
brf_local_target_leave(
    struct brf_local_target *l, const char *id, uint64_t now_ms)
{
	if (!is_current(l, id))
		return (remember_left(l, id, now_ms));
	l->current.state = BRF_TARGET_LEFT;
	return (remember_left(l, id, l->current.born));
}

bool
brf_local_target_adopt(struct brf_local_target *l,
    const struct brf_incarnation *incarnation, enum brf_target_state state)
{
	if (remembered_state(l, incarnation->id, incarnation->born) < state)
		remember(l, incarnation->id, incarnation->born, state);
	if (!is_current(l, incarnation->id) ||
	    l->current.born > incarnation->born || l->current.state >= state)
		return (false);
	l->current.state = state;
	return (true);
}
