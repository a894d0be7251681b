#ifndef BRF_LOCAL_H
#define BRF_LOCAL_H

#include "fleet/entry.h"

/**
 * DOC: State of the target on this VM, from its announcements.
 *
 * Announcements may arrive late, also those of an incarnation that has ended.
 * Incarnations are ordered by their start time, announcements of an
 * incarnation by their sequence number.  An incarnation that has left does not
 * come back, and one that drains is not ready again.
 *
 * A process that starts knows nothing of what was announced before.  What an
 * earlier process of this node has recorded in the store is taken over by
 * brf_local_target_adopt().
 */

#define BRF_LOCAL_TARGET_LEFT_MAX 16u /* incarnations remembered as left */

/**
 * struct brf_target_announcement - state that a target reports of itself.
 * @address: where the target accepts requests
 * @slots: requests that it runs at once
 * @sequence: increases with each announcement of an incarnation
 * @born: start time, see struct brf_entry
 * @warmup_us: rest of the warm-up, during which it is slow, microseconds
 */
struct brf_target_announcement {
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
 * struct brf_incarnation - identifies one run of a target.
 * @born: start time, see struct brf_entry
 * @state: latest one that was announced
 */
struct brf_incarnation {
	char id[BRF_ENTRY_ID_MAX + 1];
	uint64_t born;
	enum brf_target_state state;
};

/**
 * struct brf_local_target - the target on this VM; zeroed before first use.
 * @known: there was an announcement
 * @current: newest announcement of the newest incarnation; valid when @known
 * @left: ring buffer of incarnations that have left, or that drain although no
 *	announcement of them has arrived
 * @left_count: number ever added to @left
 */
struct brf_local_target {
	bool known;
	struct brf_target_announcement current;
	struct brf_incarnation left[BRF_LOCAL_TARGET_LEFT_MAX];
	size_t left_count;
};

/**
 * enum brf_announce_result - effect of an announcement.
 * @BRF_ANNOUNCE_STALE: none, it is older than what is known
 * @BRF_ANNOUNCE_UPDATED: the current incarnation was updated
 * @BRF_ANNOUNCE_REPLACED: a new incarnation became the current one
 */
enum brf_announce_result {
	BRF_ANNOUNCE_STALE,
	BRF_ANNOUNCE_UPDATED,
	BRF_ANNOUNCE_REPLACED
};

BRF_BEGIN_DECLS

/* Apply an announcement, which is copied. */
enum brf_announce_result brf_local_target_announce(struct brf_local_target *l,
    const struct brf_target_announcement *announcement);

/**
 * brf_local_target_leave() - apply the withdrawal of target @id.
 * @now_ms: milliseconds since 1970; when nothing is known of @id, all its
 *	incarnations that started by then have left
 *
 * Return: the latest incarnation that has left, valid until the next call.
 */
const struct brf_incarnation *brf_local_target_leave(
    struct brf_local_target *l, const char *id, uint64_t now_ms);

/**
 * brf_local_target_adopt() - apply what an earlier process of this node was
 * told of an incarnation and those before it.
 * @state: draining or left
 *
 * Return: whether the state of the current incarnation has changed.
 */
bool brf_local_target_adopt(struct brf_local_target *l,
    const struct brf_incarnation *incarnation, enum brf_target_state state);

BRF_END_DECLS

#endif
