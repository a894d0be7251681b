#ifndef BRF_LOCAL_H
#define BRF_LOCAL_H

#include "fleet/entry.h"

/**
 * DOC: What this VM's target says of itself, in the right order.
 *
 * Announcements may come late, also from a life that has ended.  Lives are
 * ordered by when they began, announcements of a life by their number.  A life
 * that has left does not come back.
 */

#define BRF_LOCAL_TARGET_LEFT_MAX 16u /* lives that are remembered as left */

/**
 * struct brf_announcement - an announcement.
 * @sequence: rises with each one of a life
 * @born: see struct brf_entry
 * @warmup_us: how much longer it is slow
 */
struct brf_announcement {
	char id[BRF_ENTRY_ID_MAX + 1];
	char service[BRF_NAME_MAX + 1];
	char zone[BRF_NAME_MAX + 1];
	char version[BRF_NAME_MAX + 1];
	struct sockaddr_in address;
	uint32_t slots;
	uint64_t sequence;
	uint64_t born;
	uint64_t warmup_us;
	enum brf_target_state state;
};

/**
 * struct brf_incarnation - one life of a target.
 */
struct brf_incarnation {
	char id[BRF_ENTRY_ID_MAX + 1];
	uint64_t born;
};

/**
 * struct brf_local_target - a zeroed struct knows nothing.
 * @current: newest announcement of the newest life, with @known
 * @left: lives that have left; a ring
 */
struct brf_local_target {
	bool known;
	struct brf_announcement current;
	struct brf_incarnation left[BRF_LOCAL_TARGET_LEFT_MAX];
	size_t left_count;
};

/**
 * enum brf_announce_result - what an announcement changed.
 * @BRF_ANNOUNCE_STALE: nothing, it came late
 * @BRF_ANNOUNCE_UPDATED: the current life is as it says
 * @BRF_ANNOUNCE_REPLACED: another life has begun
 */
enum brf_announce_result {
	BRF_ANNOUNCE_STALE,
	BRF_ANNOUNCE_UPDATED,
	BRF_ANNOUNCE_REPLACED
};

BRF_BEGIN_DECLS

enum brf_announce_result brf_local_target_announce(
    struct brf_local_target *l, const struct brf_announcement *notice);

/**
 * brf_local_target_leave() - the target @id says that it goes.
 *
 * Return: whether that is the current life.
 */
bool brf_local_target_leave(struct brf_local_target *l, const char *id);

BRF_END_DECLS

#endif
