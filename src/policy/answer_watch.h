#ifndef BRF_ANSWER_WATCH_H
#define BRF_ANSWER_WATCH_H

#include "base/base.h"

/**
 * DOC: When to end an answer whose deadline passes while it is forwarded.
 *
 * Problem: a caller may read slowly, and the answer may have been complete at
 * its target in time, so that an answer is not ended merely because its
 * deadline has passed.  But a target that stops in the middle of an answer
 * would hold its slot, and the caller's connection, for as long as it likes.
 *
 * After the deadline, only the time counts in which the reader has taken all
 * that came and more is owed.  Samples are taken at BRF_ANSWER_CHECK_US, and
 * none counts for longer: a process that was suspended must not hold this
 * against the source.
 */

#define BRF_ANSWER_CHECK_US (50 * BRF_US_PER_MS) /* interval of samples */

/**
 * struct brf_answer_watch - start with brf_answer_watch_start().
 * @max_wait_us: time to wait for the source after the deadline
 * @max_unread_us: time without a byte read after which nobody reads the answer
 * @renewed: the wait begins anew with each byte of the source, for one that
 *	ends the answer itself when it is overdue
 * @sampled_at: clock time of the last sample
 * @read_at: clock time of the last sample that saw a byte read
 * @written: bytes from the source at the last sample
 * @read: bytes read at the last sample
 * @waited_us: time waited for the source
 */
struct brf_answer_watch {
	uint64_t max_wait_us;
	uint64_t max_unread_us;
	bool renewed;
	uint64_t sampled_at;
	uint64_t read_at;
	uint64_t written;
	uint64_t read;
	uint64_t waited_us;
};

/**
 * enum brf_answer_verdict - what to do with the answer.
 * @BRF_ANSWER_GOES_ON: take another sample
 * @BRF_ANSWER_OVERDUE: end it, since the source owes the rest
 * @BRF_ANSWER_UNREAD: end it, since nobody reads it
 */
enum brf_answer_verdict {
	BRF_ANSWER_GOES_ON,
	BRF_ANSWER_OVERDUE,
	BRF_ANSWER_UNREAD
};

BRF_BEGIN_DECLS

/**
 * brf_answer_watch_start() - take the first sample, at the deadline.
 * @written: bytes of the body that came from the source so far
 * @read: bytes of them that were read
 *
 * The limits are to be set before.
 */
void brf_answer_watch_start(
    struct brf_answer_watch *w, uint64_t now, uint64_t written, uint64_t read);

/* Take a further sample of an answer that is not complete. */
enum brf_answer_verdict brf_answer_watch_check(
    struct brf_answer_watch *w, uint64_t now, uint64_t written, uint64_t read);

BRF_END_DECLS

#endif
