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
 * Problem: the clock behind the start times may jump back, so that an
 * incarnation that has just started looks like an earlier one, whose
 * announcements are late.  What is late ends after some seconds, and a target
 * that runs announces itself.  So an earlier incarnation replaces the current
 * one when it has announced itself BRF_LOCAL_TARGET_RIVAL_COUNT times over
 * BRF_LOCAL_TARGET_RIVAL_US, and the current one not at all meanwhile.  It gets
 * a place behind the current one in the order, which all nodes go by.
 *
 * A process that starts knows nothing of what was announced before.  What an
 * earlier process of this node has recorded in the store is taken over by
 * brf_local_target_adopt().
 */

#define BRF_LOCAL_TARGET_LEFT_MAX 16u /* incarnations remembered as left */
#define BRF_LOCAL_TARGET_RIVAL_COUNT 3u
#define BRF_LOCAL_TARGET_RIVAL_US (3 * BRF_US_PER_S)

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
 * struct brf_target_rival - an incarnation with an earlier start time that has
 * announced itself since the current one has last done so.
 * @sequence: latest one
 * @count: announcements with increasing sequence numbers; 0 for no rival
 * @since: clock time of the first one
 */
struct brf_target_rival {
	char id[BRF_ENTRY_ID_MAX + 1];
	uint64_t born;
	uint64_t sequence;
	uint32_t count;
	uint64_t since;
};

/**
 * struct brf_local_target - the target on this VM; zeroed before first use.
 * @known: there was an announcement
 * @current: newest announcement of the newest incarnation; valid when @known.
 *	Its start time is the place in the order of incarnations.
 * @stated_born: start time that the current incarnation states
 * @left: ring buffer of incarnations that have left, or that drain although no
 *	announcement of them has arrived
 * @left_count: number ever added to @left
 */
struct brf_local_target {
	bool known;
	struct brf_target_announcement current;
	uint64_t stated_born;
	struct brf_target_rival rival;
	struct brf_incarnation left[BRF_LOCAL_TARGET_LEFT_MAX];
	size_t left_count;
};

/**
 * enum brf_announce_result - effect of an announcement.
 * @BRF_ANNOUNCE_STALE: none, it is older than what is known, or seems to be
 * @BRF_ANNOUNCE_UPDATED: the current incarnation was updated
 * @BRF_ANNOUNCE_REPLACED: a new incarnation became the current one
 */
enum brf_announce_result {
	BRF_ANNOUNCE_STALE,
	BRF_ANNOUNCE_UPDATED,
	BRF_ANNOUNCE_REPLACED
};

BRF_BEGIN_DECLS

/**
 * brf_local_target_announce() - apply an announcement, which is copied.
 * @now: clock time
 */
enum brf_announce_result brf_local_target_announce(struct brf_local_target *l,
    const struct brf_target_announcement *announcement, uint64_t now);

/**
 * brf_local_target_heeds() - whether a target gets no more requests than its
 * announcement asks for.  Otherwise the announcement must not be acknowledged.
 */
bool brf_local_target_heeds(const struct brf_local_target *l,
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
