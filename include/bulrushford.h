#ifndef BULRUSHFORD_H
#define BULRUSHFORD_H

/**
 * DOC: Public interface for callers, targets and operators.
 *
 * The names and limits in this header are stable.  Everything under src/ may
 * change from one version to the next.
 */

#define BRF_VERSION "0.1.0"

/*
 * Request headers that a caller may send.  Any other header that begins with
 * "brf-" is removed before the request is forwarded.
 */
#define BRF_H_TIMEOUT "brf-timeout-ms"	/* time left for the request, ms */
#define BRF_H_PRIORITY "brf-priority"	/* can lower the class, not raise it */
#define BRF_H_WORKSPACE "brf-workspace" /* workspace token, see keys.h */
#define BRF_H_IDEMPOTENCY_KEY "idempotency-key" /* see token.h */

/*
 * Header that a node adds to a request for its target.  The target copies it
 * to its outgoing calls, which links them to the inbound request.
 */
#define BRF_H_REQUEST "brf-request"

/*
 * Response headers of a target, which are not passed on: the requests a second
 * that it takes from all nodes together, a decimal number, for as long as it
 * says so; "1" when it leaves.
 */
#define BRF_H_TARGET_LIMIT "brf-target-limit"
#define BRF_H_TARGET_LEAVING "brf-target-leaving"

/* Response headers that a node adds. */
#define BRF_H_OUTCOME "brf-outcome" /* answered, not_run or unknown */
#define BRF_H_REASON "brf-reason"   /* see brf_reason_name() */
#define BRF_H_ID "brf-request-id"   /* id of the root request, 32 hex digits */
#define BRF_H_RETRY_AFTER_MS "brf-retry-after-ms" /* retry delay, ms */
#define BRF_H_ATTEMPTS "brf-attempts" /* attempts sent for this request */

/* A POST to this path, with the service as host, returns a request token. */
#define BRF_TOKEN_PATH "/.well-known/brf/request-token"

/* Fixed limits; neither documents nor settings can raise them. */
#define BRF_RETRIES_MAX 3u	    /* retries per root request */
#define BRF_DEPTH_MAX 32u	    /* nesting of calls below a root request */
#define BRF_BODY_MAX 1048576u	    /* bytes of a request or response body */
#define BRF_HEADERS_MAX 64u	    /* header fields of one message */
#define BRF_HEADER_BYTES_MAX 16384u /* bytes of all header fields */
#define BRF_PATH_MAX 2048u	    /* bytes of path and query */
#define BRF_NAME_MAX 63u	    /* bytes of a service, zone or workspace */
#define BRF_TIMEOUT_DEFAULT_MS 10000u /* used if the caller sends none */
#define BRF_TIMEOUT_MAX_MS 300000u    /* longer timeouts are cut to this */
#define BRF_CLASSES 4u		      /* class 0 is the most important */

/* Exit codes of both programs. */
#define BRF_EXIT_OK 0	       /* done; daemon: stopped, no request was left */
#define BRF_EXIT_FAILED 1      /* the operation failed */
#define BRF_EXIT_USAGE 2       /* invalid flags or settings */
#define BRF_EXIT_UNREACHABLE 3 /* no response from the node or the store */
#define BRF_EXIT_CONFLICT 4    /* the store has a newer revision */
#define BRF_EXIT_UNFINISHED 5  /* daemon: stopped with requests in flight */

#endif
