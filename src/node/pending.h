#ifndef BRF_PENDING_H
#define BRF_PENDING_H

#include "http/server.h"
#include "node/call.h"

/**
 * DOC: A caller's HTTP request joined to the call that serves it.
 */

BRF_BEGIN_DECLS

/**
 * brf_pending_start() - serve @http by a call and answer with its outcome.
 * @rq: service, workspace, inbound and attributed are filled; the rest is read
 *from the request's fields, which are then removed
 */
void brf_pending_start(struct brf_call_context *ctx,
    struct brf_http_request *http, struct brf_call_request *rq);

/* For brf_http_handler_vt.gone. */
void brf_pending_disconnected(struct brf_http_request *http);

/**
 * brf_pending_refuse() - answer at once that nothing was run, and why.
 */
void brf_pending_refuse(struct brf_http_request *http, enum brf_reason reason);

/**
 * brf_pending_parse_service() - service that @http is for: the first label of
 * its host (RFC 9110, section 7.2), in lower case.
 *
 * Return: false when it is no name of a service.
 */
bool brf_pending_parse_service(
    const struct brf_http_request *http, char out[BRF_NAME_MAX + 1]);

BRF_END_DECLS

#endif
