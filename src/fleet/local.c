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

/*
 * Note an announcement of an earlier incarnation.
 *
 * Return: whether that one is to replace the current one.
 */
static bool
rival_replaces(struct brf_local_target *l,
    const struct brf_target_announcement *n, uint64_t now)
{
	struct brf_target_rival *rival = &l->rival;
	bool same = rival->count != 0 && strcmp(rival->id, n->id) == 0 &&
		    rival->born == n->born;

	if (same && n->sequence <= rival->sequence)
		return (false);
	if (!same) {
		brf_copy_name(rival->id, sizeof(rival->id), n->id);
		rival->born = n->born;
		rival->count = 0;
		rival->since = now;
	}
	rival->sequence = n->sequence;
	rival->count++;
	return (rival->count >= BRF_LOCAL_TARGET_RIVAL_COUNT &&
		now - rival->since >= BRF_LOCAL_TARGET_RIVAL_US);
}

static void
set_current(struct brf_local_target *l, const struct brf_target_announcement *n,
    uint64_t born, enum brf_target_state state)
{
	l->stated_born = n->born;
	l->current = *n;
	l->current.born = born;
	l->current.state = state;
	l->known = true;
	l->rival.count = 0;
}

static enum brf_announce_result
update_current(
    struct brf_local_target *l, const struct brf_target_announcement *n)
{
	uint64_t born = l->current.born;
	enum brf_target_state state = remembered_state(l, n->id, born);

	if (state == BRF_TARGET_LEFT || n->sequence <= l->current.sequence)
		return (BRF_ANNOUNCE_STALE);
	if (l->current.state > state)
		state = l->current.state;
	set_current(l, n, born, n->state > state ? n->state : state);
	return (BRF_ANNOUNCE_UPDATED);
}

enum brf_announce_result
brf_local_target_announce(struct brf_local_target *l,
    const struct brf_target_announcement *n, uint64_t now)
{
	enum brf_target_state before;
	uint64_t born = n->born;

	if (is_current(l, n->id) && n->born == l->stated_born)
		return (update_current(l, n));
	before = remembered_state(l, n->id, n->born);
	if (before == BRF_TARGET_LEFT)
		return (BRF_ANNOUNCE_STALE);
	if (l->known && n->born < l->current.born) {
		if (!rival_replaces(l, n, now))
			return (BRF_ANNOUNCE_STALE);
		born = l->current.born + 1;
	} else if (l->known && n->born == l->current.born) {
		/* the order does not tell which of them is the later one */
		remember_left(l, l->current.id, l->current.born);
	}
	set_current(l, n, born, n->state > before ? n->state : before);
	return (BRF_ANNOUNCE_REPLACED);
}

bool
brf_local_target_heeds(const struct brf_local_target *l,
    const struct brf_target_announcement *announcement)
{
	return (!is_current(l, announcement->id) ||
		l->current.state >= announcement->state);
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
