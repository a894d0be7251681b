#ifndef BRF_PLACE_H
#define BRF_PLACE_H

#include "base/random.h"
#include "flow/hop.h"

/**
 * DOC: Which of a service's targets a hop goes to.
 *
 * Load it answers: targets of unlike speed, some warming up, some failing part
 * of what they get, in zones that differ in distance and price, while many
 * nodes choose at once from what each of them saw last.
 *
 * Each candidate gets an estimate of the time until its answer: its usual
 * time, and what waits there with a penalty for having to wait at all, divided
 * by the share of its hops that came back. Another zone adds a small penalty.
 * The other region, whose link is narrow and billed, is for requests that find
 * no target in this one, or none that takes work, and for the most important
 * ones that find no room.
 */

/**
 * enum brf_place_ring - distance to a target.
 */
enum brf_place_ring {
	BRF_PLACE_SELF,	  /* beside this node */
	BRF_PLACE_ZONE,	  /* in this zone */
	BRF_PLACE_REGION, /* in this region */
	BRF_PLACE_FAR,	  /* in another region */
	BRF_PLACE_RINGS
};

#define BRF_PLACE_MAX 128u /* candidates looked at for one hop */

/**
 * struct brf_place_target - what a node knows of one target.
 * @ring: its distance
 * @slots: requests that it runs at once
 * @warm_at: clock time when its warm-up ends
 * @open: hops from here that have not ended
 * @load: its gate's last word
 * @load_at: clock time of that; 0 for none
 * @usual_ms: time of the other candidates, taken for its own until then
 * @open_then: @open at that time
 * @good: share of hops that ended well, fading
 * @streak: hops in a row that failed without a word of the target
 * @ejected_until: clock time before which it gets nothing
 * @leaving_until: clock time before which it gets nothing, as its gate said
 *	that it takes no new work
 * @probing: a hop that is to show whether it is back
 * @draining: it says that it takes no new work
 * @silent: nothing comes back from its node
 * @down: its node can't be reached
 */
struct brf_place_target {
	enum brf_place_ring ring;
	uint32_t slots;
	uint64_t warm_at;
	uint32_t open;
	struct brf_gate_load load;
	uint64_t load_at;
	double usual_ms;
	uint32_t open_then;
	double good;
	uint32_t streak;
	uint64_t ejected_until;
	uint64_t leaving_until;
	bool probing;
	bool draining;
	bool silent;
	bool down;
};

/**
 * struct brf_place_request - what a choice is made for.
 * @rank: 0 is the most important
 * @tried: candidates that this request has been at, by index
 */
struct brf_place_request {
	uint32_t rank;
	bool nested;
	bool repeatable;
	const bool *tried;
};

#define BRF_PLACE_NONE SIZE_MAX

BRF_BEGIN_DECLS

/* "self", "zone", "region" or "far". */
const char *brf_place_ring_name(enum brf_place_ring ring);

void brf_place_target_init(
    struct brf_place_target *t, enum brf_place_ring ring, uint32_t slots);

/**
 * brf_place_choose() - choose among @count candidates.
 *
 * Return: index; BRF_PLACE_NONE when none may get it.
 */
size_t brf_place_choose(struct brf_place_target *const *targets, size_t count,
    const struct brf_place_request *request, struct brf_random *random,
    uint64_t now);

/* A hop goes to @t. */
void brf_place_sent(struct brf_place_target *t, uint64_t now);

/**
 * enum brf_place_end - how a hop ended, as far as it tells of its target.
 * @BRF_PLACE_GOOD: answered
 * @BRF_PLACE_FULL: refused for want of room
 * @BRF_PLACE_LEAVING: refused because the target takes no new work
 * @BRF_PLACE_SHED: the target itself refused or failed it
 * @BRF_PLACE_LOST: no word came, or the way there is broken
 * @BRF_PLACE_NEUTRAL: its sender gave it up
 */
enum brf_place_end {
	BRF_PLACE_GOOD,
	BRF_PLACE_FULL,
	BRF_PLACE_LEAVING,
	BRF_PLACE_SHED,
	BRF_PLACE_LOST,
	BRF_PLACE_NEUTRAL
};

void brf_place_ended(struct brf_place_target *t, enum brf_place_end end,
    const struct brf_gate_load *load, uint64_t now);

/* Estimate behind a choice, microseconds, without the distance. */
double brf_place_estimate(const struct brf_place_target *t, uint64_t now);

BRF_END_DECLS

#endif
