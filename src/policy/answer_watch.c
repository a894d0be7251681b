#include "policy/answer_watch.h"

void
brf_answer_watch_start(
    struct brf_answer_watch *w, uint64_t now, uint64_t written, uint64_t read)
{
	w->sampled_at = now;
	w->read_at = now;
	w->written = written;
	w->read = read;
	w->waited_us = 0;
}

static void
count_wait(struct brf_answer_watch *w, uint64_t now, uint64_t written)
{
	uint64_t elapsed = now - w->sampled_at;

	if (w->renewed && written != w->written) {
		w->waited_us = 0;
		return;
	}
	w->waited_us +=
	    elapsed < BRF_ANSWER_CHECK_US ? elapsed : BRF_ANSWER_CHECK_US;
}

enum brf_answer_verdict
brf_answer_watch_check(
    struct brf_answer_watch *w, uint64_t now, uint64_t written, uint64_t read)
{
	bool waits = written == read;

	if (waits)
		count_wait(w, now, written);
	if (waits || read != w->read)
		w->read_at = now;
	w->sampled_at = now;
	w->written = written;
	w->read = read;
	if (w->waited_us >= w->max_wait_us)
		return (BRF_ANSWER_OVERDUE);
	if (now - w->read_at >= w->max_unread_us)
		return (BRF_ANSWER_UNREAD);
	return (BRF_ANSWER_GOES_ON);
}
