#ifndef BRF_CODEC_H
#define BRF_CODEC_H

#include "base/exchange.h"
#include "wire/proto.h"

/**
 * DOC: Attempts and replies as XDR.
 *
 * What is decoded was checked: text holds no NUL, fields follow HTTP's rules,
 * numbers are in range, the content has the checksum that came with it.
 * Numbers out of range are refused, not clamped, retries above BRF_RETRIES_MAX
 * among them: a sender that breaks one bound can't be trusted with another.
 */

BRF_BEGIN_DECLS

/**
 * brf_attempt_size() - bytes that brf_attempt_put() takes at most.
 */
size_t brf_attempt_size(const struct brf_attempt *a);

/**
 * brf_attempt_put() - encode.
 * @timeout_us: time left now; replaces the attempt's own
 *
 * Return: false when something is longer than its bound.
 */
bool brf_attempt_put(
    XDR *xdr, const struct brf_attempt *a, uint64_t timeout_us);

/**
 * brf_attempt_get() - decode and check.
 * @a: filled; its request has one reference, the caller's.  Nothing is left
 *	to free after a failure.
 *
 * Return: false with BRF_E_RPC_ARGUMENT, BRF_E_HEADERS, BRF_E_TOO_LARGE or
 * BRF_E_CHECKSUM.
 */
bool brf_attempt_get(XDR *xdr, struct brf_attempt *a, struct brf_error *err);

size_t brf_reply_size(const struct brf_reply *r);

/**
 * brf_reply_put() - encode.
 * @id: the attempt that it answers
 */
bool brf_reply_put(XDR *xdr, struct brf_id id, const struct brf_reply *r);

/**
 * brf_reply_get() - decode and check.
 * @id: the attempt that it must name
 * @r: filled; its answer, if any, has one reference, the caller's.  Nothing
 *	is left to free after a failure.
 *
 * Return: as brf_attempt_get(), and false with BRF_E_RPC_UNMATCHED when it
 * names another attempt.
 */
bool brf_reply_get(
    XDR *xdr, struct brf_id id, struct brf_reply *r, struct brf_error *err);

struct brf_id brf_id_from_xdr(const brf_xdr_id *id);
brf_xdr_id brf_id_to_xdr(struct brf_id id);

BRF_END_DECLS

#endif
