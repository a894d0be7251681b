#ifndef BRF_OUTCOME_H
#define BRF_OUTCOME_H

#include "base/base.h"

/**
 * enum brf_outcome - how a request, or one attempt of it, ended.
 * @BRF_ANSWERED: the target's complete answer has arrived
 * @BRF_NOT_RUN: it is proved that no target began to run it
 * @BRF_UNKNOWN: a target may have run it, completely or in part
 */
enum brf_outcome {
	BRF_ANSWERED,
	BRF_NOT_RUN,
	BRF_UNKNOWN
};

/*
 * Reasons of an outcome: constant, outer name, and the HTTP status that the
 * caller gets when an unanswered request ends with this reason (RFC 9110).
 */
#define BRF_REASONS(X)                                       \
	X(BRF_R_NONE, "none", 200)                           \
	X(BRF_R_OVERLOAD, "overload", 503)                   \
	X(BRF_R_SHED_EARLY, "shed_early", 503)               \
	X(BRF_R_SHED_BELOW, "shed_below", 503)               \
	X(BRF_R_WORKSPACE_SHARE, "workspace_share", 429)     \
	X(BRF_R_DEADLINE, "deadline", 504)                   \
	X(BRF_R_EXPIRED, "expired_waiting", 504)             \
	X(BRF_R_DRAINING, "draining", 503)                   \
	X(BRF_R_NO_TARGET, "no_target", 503)                 \
	X(BRF_R_NOT_SENT, "not_sent", 503)                   \
	X(BRF_R_TARGET_SHED, "target_shed", 503)             \
	X(BRF_R_TARGET_DOWN, "target_unreachable", 503)      \
	X(BRF_R_CANCELLED, "cancelled", 499)                 \
	X(BRF_R_CONNECTION_LOST, "connection_lost", 502)     \
	X(BRF_R_TARGET_LOST, "target_connection_lost", 502)  \
	X(BRF_R_BROKEN_ANSWER, "broken_answer", 502)         \
	X(BRF_R_ANSWER_TOO_LARGE, "answer_too_large", 502)   \
	X(BRF_R_TIMEOUT, "timeout", 504)                     \
	X(BRF_R_LINK_BUDGET, "link_budget", 503)             \
	X(BRF_R_MALFORMED, "malformed", 400)                 \
	X(BRF_R_TOO_LARGE, "too_large", 413)                 \
	X(BRF_R_HEADERS_TOO_LARGE, "headers_too_large", 431) \
	X(BRF_R_NO_SERVICE, "no_service", 404)               \
	X(BRF_R_UNAUTHENTICATED, "unauthenticated", 401)     \
	X(BRF_R_TOO_DEEP, "too_deep", 508)                   \
	X(BRF_R_TOKEN_INVALID, "token_invalid", 409)         \
	X(BRF_R_TOKEN_EXPIRED, "token_expired", 409)         \
	X(BRF_R_DUPLICATE, "duplicate", 409)                 \
	X(BRF_R_GATE_RESTARTED, "gate_restarted", 409)       \
	X(BRF_R_EARLIER_BROKEN, "earlier_broken", 502)       \
	X(BRF_R_BEHIND_CLOSE, "behind_close", 502)           \
	X(BRF_R_ABORTED, "aborted", 502)                     \
	X(BRF_R_RATE_LIMIT, "rate_limit", 503)               \
	X(BRF_R_TARGET_CRASHED, "target_crashed", 502)       \
	X(BRF_R_CRASH_SUSPECT, "crash_suspect", 503)

enum brf_reason {
#define X(code, name, status) code,
	BRF_REASONS(X)
#undef X
	BRF_REASON_COUNT
};

BRF_BEGIN_DECLS

/* Return: "answered", "not_run" or "unknown". */
const char *brf_outcome_name(enum brf_outcome outcome);

/* Return: name in the response header, logs and metrics; stable. */
const char *brf_reason_name(enum brf_reason reason);

/* Return: HTTP status for a request that ended with @reason. */
int brf_reason_status(enum brf_reason reason);

BRF_END_DECLS

#endif
