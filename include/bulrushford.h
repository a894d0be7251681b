#ifndef BULRUSHFORD_H
#define BULRUSHFORD_H

/**
 * DOC: What callers, targets and operators may rely on.
 *
 * The names and bounds of this header are the product's outer interface.
 * Everything else under src/ may change from one version to the next.
 */

#define BRF_VERSION "0.1.0"

/*
 * Request headers that a caller may send.  Any other header that begins with
 * "brf-" is removed before the request goes on.
 */
#define BRF_H_TIMEOUT "brf-timeout-ms"	/* remaining time, milliseconds */
#define BRF_H_PRIORITY "brf-priority"	/* lowers the class, never raises */
#define BRF_H_WORKSPACE "brf-workspace" /* workspace token, see keys.h */
#define BRF_H_IDEMPOTENCY_KEY \
	"idempotency-key" /* a request token, see token.h */

/*
 * Header that a node adds towards its target, and that the target repeats on
 * its outgoing calls: it ties them to the inbound request.
 */
#define BRF_H_REQUEST "brf-request"

/* Headers that a node adds to each response. */
#define BRF_H_OUTCOME "brf-outcome" /* answered, not_run or unknown */
#define BRF_H_REASON "brf-reason"   /* see brf_reason_name() */
#define BRF_H_ID "brf-request-id"   /* root request, 32 hex digits */
#define BRF_H_RETRY_AFTER_MS "brf-retry-after-ms" /* when to ask again */
#define BRF_H_ATTEMPTS "brf-attempts" /* attempts sent for this request */

/* POST here, with the service as host, answers with a request token. */
#define BRF_TOKEN_PATH "/.well-known/brf/request-token"

/* Fixed bounds; no document and no setting raises them. */
#define BRF_RETRIES_MAX 3u	      /* extra attempts per root request */
#define BRF_DEPTH_MAX 32u	      /* calls nested below a root request */
#define BRF_BODY_MAX 1048576u	      /* bytes, request and answer alike */
#define BRF_HEADERS_MAX 64u	      /* fields of one message */
#define BRF_HEADER_BYTES_MAX 16384u   /* bytes of all fields of a message */
#define BRF_PATH_MAX 2048u	      /* bytes of path and query */
#define BRF_NAME_MAX 63u	      /* bytes of a service, zone, workspace */
#define BRF_TIMEOUT_DEFAULT_MS 10000u /* where the caller gives none */
#define BRF_TIMEOUT_MAX_MS 300000u    /* longer ones are cut to this */
#define BRF_CLASSES 4u		      /* 0 is the most important */

/* Exit codes of both programs. */
#define BRF_EXIT_OK 0	       /* done; daemon: stopped, nothing was left */
#define BRF_EXIT_FAILED 1      /* the operation failed */
#define BRF_EXIT_USAGE 2       /* flags or settings are wrong */
#define BRF_EXIT_UNREACHABLE 3 /* no answer from the node or the store */
#define BRF_EXIT_CONFLICT 4    /* a newer revision exists */
#define BRF_EXIT_UNFINISHED 5  /* daemon: stopped with requests in flight */

#endif
