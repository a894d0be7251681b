#ifndef BRF_STOP_H
#define BRF_STOP_H

#include "base/base.h"

/**
 * DOC: A graceful stop, from the signal to the end of the process.
 *
 * Load it answers: callers that send to this node until they have heard that it
 * is not ready, a target beside it that nobody else can reach while it is
 * away, and a platform that ends the process by force after its grace.
 *
 * Callers hear of it at once.  The target goes on getting work for a while,
 * since its slots are lost for the service from then on until the node is
 * back.  Then its gate refuses and what runs is finished.
 */

/**
 * struct brf_stop - times since the signal, microseconds.
 * @serve_us: from which the target gets no new work
 * @least_us: before which the process does not end
 * @most_us: at which it ends, whatever is open
 * @busy_us: when something was open last
 * @refusing: the target gets no new work any more
 */
struct brf_stop {
	uint64_t refuse_us;
	uint64_t min_us;
	uint64_t max_us;
	uint64_t last_open_us;
	bool refusing;
};

/**
 * enum brf_stop_step - what is due.
 * @BRF_STOP_REFUSE: the target gets no new work from now on
 * @BRF_STOP_END: close everything
 */
enum brf_stop_step {
	BRF_STOP_WAIT,
	BRF_STOP_REFUSE,
	BRF_STOP_END
};

BRF_BEGIN_DECLS

/* @grace_us: from the signal until the process is ended by force */
void brf_stop_init(struct brf_stop *s, uint64_t grace_us);

/**
 * brf_stop_check() - what is due @since_us after the signal.
 * @open: requests in the process
 */
enum brf_stop_step brf_stop_check(
    struct brf_stop *s, uint64_t since_us, size_t open);

BRF_END_DECLS

#endif
