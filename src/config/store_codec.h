#ifndef BRF_STORE_CODEC_H
#define BRF_STORE_CODEC_H

#include "base/buf.h"
#include "config/store.h"

/**
 * DOC: The etcd v3 API in its JSON form (gRPC gateway), as published with
 * etcd 3.4 and later: bytes in base64, 64-bit integers as strings, fields
 * with default values left out.
 */

#define BRF_STORE_WATCH_PATH "/v3/watch"

BRF_BEGIN_DECLS

/**
 * brf_store_encode() - body of a call.
 *
 * Return: its path.
 */
const char *brf_store_encode(
    const struct brf_store_request *request, struct brf_buf *body);

/**
 * brf_store_decode() - read an answer, whatever its bytes.
 * @request: of the call; only its op, compare and newest are looked at
 * @out: filled; give it to brf_store_response_free()
 *
 * An answer that can't be read leaves a write BRF_STORE_UNKNOWN, as does a
 * status of 500 and above: the store may have gone on with it.
 */
void brf_store_decode(const struct brf_store_request *request, int status,
    const char *body, size_t len, struct brf_store_response *out);
void brf_store_response_free(struct brf_store_response *answer);

void brf_store_watch_encode(
    const struct brf_store_watch *watch, struct brf_buf *body);

/**
 * brf_store_watch_decode() - read one line of a watch.
 * @out: filled; give it to brf_store_event_free()
 *
 * Return: false with BRF_E_STORE_COMPACTED, BRF_E_STORE when the store ended
 * the watch, or BRF_E_STORE_PROTOCOL.
 */
bool brf_store_watch_decode(const char *line, size_t len,
    struct brf_store_event *out, struct brf_error *err);
void brf_store_event_free(struct brf_store_event *event);

BRF_END_DECLS

#endif
