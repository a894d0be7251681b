#ifndef BRF_STORE_CODEC_H
#define BRF_STORE_CODEC_H

#include "base/buf.h"
#include "config/store.h"

/**
 * DOC: Encoding of store requests and responses.
 *
 * The format is the JSON form of the etcd v3 API (gRPC gateway) of etcd 3.4 and
 * later: bytes are in base64, 64-bit integers are strings, and fields with
 * default values are omitted.
 */

#define BRF_STORE_WATCH_PATH "/v3/watch"

BRF_BEGIN_DECLS

/**
 * brf_store_encode() - append the HTTP body of @request to @body.
 *
 * Return: the HTTP path, a literal.
 */
const char *brf_store_encode(
    const struct brf_store_request *request, struct brf_buf *body);

/**
 * brf_store_decode() - decode the response to a call.
 * @request: request of the call; only op and compare are read
 * @status: HTTP status
 * @body: @len bytes, not trusted
 * @out: filled in every case; to be freed by brf_store_response_free()
 *
 * A malformed response or a status of 500 and above gives BRF_STORE_UNKNOWN,
 * because the store may have executed the call.
 */
void brf_store_decode(const struct brf_store_request *request, int status,
    const char *body, size_t len, struct brf_store_response *out);
void brf_store_response_free(struct brf_store_response *response);

/* Append the HTTP body that opens @watch to @body. */
void brf_store_watch_encode(
    const struct brf_store_watch *watch, struct brf_buf *body);

/**
 * brf_store_watch_decode() - decode one line of a watch stream.
 * @out: filled; to be freed by brf_store_event_free()
 *
 * Return: false with BRF_E_STORE_COMPACTED, BRF_E_STORE when the store ended
 * the watch, or BRF_E_STORE_PROTOCOL when the line is malformed.
 */
bool brf_store_watch_decode(const char *line, size_t len,
    struct brf_store_event *out, struct brf_error *err);
void brf_store_event_free(struct brf_store_event *event);

BRF_END_DECLS

#endif
