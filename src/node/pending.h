#ifndef BRF_PENDING_H
#define BRF_PENDING_H

#include "http/server.h"
#include "node/call.h"

/**
 * DOC: Serves an HTTP request by a call and answers with its result.
 */

BRF_BEGIN_DECLS

/**
 * brf_pending_start() - start a call for @http and answer when it has ended.
 * @http: answered at once if one of its "brf-" fields is malformed
 * @rq: filled by the caller, except for class, timeout, content and callback;
 *	class and timeout are read from the "brf-" fields of @http, which are
 *	then removed
 */
void brf_pending_start(struct brf_call_context *ctx,
    struct brf_http_request *http, struct brf_call_request *rq);

/* Abandons the call of @http, whose client has disconnected; to be called from
 * brf_http_handler_vt.gone. */
void brf_pending_disconnected(struct brf_http_request *http);

/**
 * brf_pending_refuse() - answer at once with BRF_NOT_RUN and @reason.
 */
void brf_pending_refuse(struct brf_http_request *http, enum brf_reason reason);

/**
 * brf_pending_parse_service() - read the callee's name from @http: the first
 * label of its host (RFC 9110, section 7.2), in lower case.
 *
 * Return: false if the label is not a valid service name.
 */
bool brf_pending_parse_service(
    const struct brf_http_request *http, char out[BRF_NAME_MAX + 1]);

BRF_END_DECLS

#endif
