#ifndef BRF_CODEC_H
#define BRF_CODEC_H

#include "base/exchange.h"
#include "wire/proto.h"

/**
 * DOC: XDR encoding of attempts and replies.
 *
 * The decoders validate their input: text contains no NUL, header fields are
 * valid in HTTP, numbers are in range, and the content matches its checksum.
 * Numbers out of range, such as retries above BRF_RETRIES_MAX, are rejected
 * instead of clamped, because a sender that violates one bound can't be trusted
 * to observe the others.
 */

BRF_BEGIN_DECLS

/**
 * brf_attempt_max_size() - upper bound of an attempt's encoded size, bytes.
 */
size_t brf_attempt_max_size(const struct brf_attempt *a);

/**
 * brf_attempt_encode() - encode an attempt.
 * @timeout_us: remaining time, microseconds; sent in place of @a's timeout_us
 *	and limited to BRF_TIMEOUT_MAX_MS
 *
 * Return: false when a part of @a exceeds its bound in proto.x.
 */
bool brf_attempt_encode(
    XDR *xdr, const struct brf_attempt *a, uint64_t timeout_us);

/**
 * brf_attempt_decode() - decode and validate an attempt.
 * @a: filled; the caller owns the one reference to its request.  After a
 *	failure there is nothing to free.
 *
 * Return: false with BRF_E_RPC_ARGUMENT, BRF_E_HEADERS, BRF_E_TOO_LARGE or
 * BRF_E_CHECKSUM.
 */
bool brf_attempt_decode(XDR *xdr, struct brf_attempt *a, struct brf_error *err);

/**
 * brf_reply_max_size() - upper bound of a reply's encoded size, bytes.
 */
size_t brf_reply_max_size(const struct brf_reply *r);

/**
 * brf_reply_encode() - encode a reply.
 * @id: the attempt that @r answers
 *
 * Return: false when a part of @r exceeds its bound in proto.x.
 */
bool brf_reply_encode(XDR *xdr, struct brf_id id, const struct brf_reply *r);

/**
 * brf_reply_decode() - decode and validate a reply.
 * @id: the attempt that the reply must answer
 * @r: filled; the caller owns the one reference to its answer, if any.  After a
 *	failure there is nothing to free.
 *
 * Return: as brf_attempt_decode(), and false with BRF_E_RPC_UNMATCHED when the
 * reply has the id of another attempt.
 */
bool brf_reply_decode(
    XDR *xdr, struct brf_id id, struct brf_reply *r, struct brf_error *err);

struct brf_id brf_id_from_xdr(const brf_xdr_id *id);
brf_xdr_id brf_id_to_xdr(struct brf_id id);

BRF_END_DECLS

#endif
