#ifndef BRF_CRASH_LOG_H
#define BRF_CRASH_LOG_H

#include "base/list.h"
#include "base/request_key.h"

/**
 * DOC: Which requests may run again although targets crashed under them.
 *
 * Load: a request that crashes each target that runs it, and comes again at any
 * node.  A crash ends all that ran at the target, nearly all of it harmless, so
 * a request is judged by several crashes: it is suspected after the first,
 * isolated after BRF_CRASH_ISOLATE, refused after BRF_CRASH_REFUSE of different
 * incarnations.  A request that a target lives through is harmless: an answer
 * clears it of all crashes before, and for BRF_CRASH_ANSWERED_US of those
 * after. A popular request is often under way beside a crash and is answered
 * elsewhere; one that was harmless long ago may not be so to a new version of
 * its target.
 *
 * Where two requests were under way at the same crashes, one of them may be
 * harmless.  A crash does not count against a request when another one that was
 * under way has to be refused, and has crashed more.  While neither has, one
 * crash more is needed to refuse them.
 *
 * A refused request is tried again when BRF_CRASH_HOLD_US have passed since the
 * last crash, a time that doubles with each further crash.  Nodes try it at
 * different times, spread over BRF_CRASH_TRIAL_US, so that most hear of a first
 * trial before their own.
 *
 * Callers share no memory: each has its own, of bounded size, so that none can
 * have another's request refused, or forgotten.
 */

#define BRF_CRASH_ISOLATE 2u
#define BRF_CRASH_REFUSE 3u
#define BRF_CRASH_ANSWERED_US (60 * BRF_US_PER_S)
#define BRF_CRASH_HOLD_US (600 * BRF_US_PER_S)
#define BRF_CRASH_HOLD_DOUBLINGS 7u
#define BRF_CRASH_TRIAL_US (60 * BRF_US_PER_S) /* between trials at a node */
#define BRF_CRASH_CALLERS_MAX 64u	       /* the others share one memory */
#define BRF_CRASH_SUSPECTS_MAX 2048u	       /* of a caller */
#define BRF_CRASH_INCARNATIONS_MAX 8u /* that are told apart, of a request */

/**
 * enum brf_crash_verdict - what may be done with a request.
 * @BRF_CRASH_HARMLESS: nothing speaks against it, or a target has lived through
 *	it
 * @BRF_CRASH_SUSPECTED: a target crashed under it
 * @BRF_CRASH_ISOLATED: as many crashed that it is not repeated, and not sent to
 *	the last target of a service
 * @BRF_CRASH_TRIED: it was refused, and may run once, as one that is isolated
 * @BRF_CRASH_REFUSED: it is not run
 */
enum brf_crash_verdict {
	BRF_CRASH_HARMLESS,
	BRF_CRASH_SUSPECTED,
	BRF_CRASH_ISOLATED,
	BRF_CRASH_TRIED,
	BRF_CRASH_REFUSED
};

/**
 * struct brf_crash_of - the crash of one incarnation of a target.
 * @incarnation: see brf_crash_incarnation()
 * @at: clock time of the crash
 * @cleared: it does not count against the request
 */
struct brf_crash_of {
	uint64_t incarnation;
	uint64_t at;
	bool cleared;
};

/**
 * struct brf_crash_suspect - a request under which targets crashed.
 * @crashes: @total of them
 * @count: crashes from which it was not cleared
 * @weight: those of them that count against it, as of change @weighed_at of the
 *	log
 * @last_at: clock time of the last crash
 * @tried_at: clock time at which this node tried it last; 0 for never
 * @answered_at: clock time at which a target lived through it last; 0 for never
 */
struct brf_crash_suspect {
	struct brf_list link;
	struct brf_request_key key;
	struct brf_crash_of crashes[BRF_CRASH_INCARNATIONS_MAX];
	size_t total;
	size_t count;
	size_t weight;
	uint64_t weighed_at;
	uint64_t last_at;
	uint64_t tried_at;
	uint64_t answered_at;
};

struct brf_crash_log;

BRF_BEGIN_DECLS

/* @trial_delay_us: this node's place in the spread of trials */
struct brf_crash_log *brf_crash_log_new(uint64_t trial_delay_us);
void brf_crash_log_free(struct brf_crash_log *log);

/* Return: hash that stands for one run of the target @id. */
uint64_t brf_crash_incarnation(const char *id, uint64_t born);

/**
 * brf_crash_log_add() - a target crashed while it ran a request.
 * @at: clock time of the crash
 *
 * Return: the suspect; NULL when the crash was known, or the caller has too
 * many suspects with as many crashes.
 */
const struct brf_crash_suspect *brf_crash_log_add(struct brf_crash_log *log,
    const char *caller, const struct brf_request_key *key, uint64_t incarnation,
    uint64_t at);

/* The crash of that incarnation, which may not be known yet, does not count
 * against the request. */
void brf_crash_log_clear(struct brf_crash_log *log, const char *caller,
    const struct brf_request_key *key, uint64_t incarnation, uint64_t now);

/**
 * brf_crash_log_answered() - a target has lived through the request.
 *
 * Return: whether it was isolated or refused, so that other nodes have to be
 * told.
 */
bool brf_crash_log_answered(struct brf_crash_log *log, const char *caller,
    const struct brf_request_key *key, uint64_t now);

/* Whether a crash at @now would not count against the request. */
bool brf_crash_log_is_harmless(const struct brf_crash_log *log,
    const char *caller, const struct brf_request_key *key, uint64_t now);

/**
 * brf_crash_log_judge() - judge a request that wants to run.
 * @wait_us: set, with BRF_CRASH_REFUSED, to the time until it may be tried
 *
 * BRF_CRASH_TRIED is returned once in BRF_CRASH_TRIAL_US.
 */
enum brf_crash_verdict brf_crash_log_judge(struct brf_crash_log *log,
    const char *caller, const struct brf_request_key *key, uint64_t now,
    uint64_t *wait_us);

/* Whether a request of @caller with this hash of its head is isolated or
 * refused, so that the body has to be known before it is judged. */
bool brf_crash_log_needs_body(
    const struct brf_crash_log *log, const char *caller, uint64_t head);

/* Return: the request, with its weight, if it is suspected; NULL otherwise. */
const struct brf_crash_suspect *brf_crash_log_find(struct brf_crash_log *log,
    const char *caller, const struct brf_request_key *key);

/* Forget suspects whose last crash is long ago. */
void brf_crash_log_expire(struct brf_crash_log *log, uint64_t now);

/* Call @visit with @arg for each suspect. */
void brf_crash_log_visit(struct brf_crash_log *log,
    void (*visit)(
	void *arg, const char *caller, const struct brf_crash_suspect *suspect),
    void *arg);

BRF_END_DECLS

#endif
