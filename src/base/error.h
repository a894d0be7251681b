#ifndef BRF_ERROR_H
#define BRF_ERROR_H

#include "base/base.h"

/*
 * Types of failures: constant, and name in logs, metrics and JSON output.  A
 * released name never changes.
 */
#define BRF_ERRORS(X)                                   \
	X(BRF_OK, "ok")                                 \
	X(BRF_E_SYSTEM, "system")                       \
	X(BRF_E_SETTING_UNKNOWN, "setting_unknown")     \
	X(BRF_E_SETTING_MISSING, "setting_missing")     \
	X(BRF_E_SETTING_INVALID, "setting_invalid")     \
	X(BRF_E_ADDRESS, "address_invalid")             \
	X(BRF_E_BIND, "bind_failed")                    \
	X(BRF_E_CONNECT, "connect_failed")              \
	X(BRF_E_TIMEOUT, "timeout")                     \
	X(BRF_E_CLOSED, "connection_closed")            \
	X(BRF_E_TOO_LARGE, "too_large")                 \
	X(BRF_E_HEADERS, "headers_invalid")             \
	X(BRF_E_HTTP, "http_invalid")                   \
	X(BRF_E_RPC_RECORD, "rpc_record_invalid")       \
	X(BRF_E_RPC_HEADER, "rpc_header_invalid")       \
	X(BRF_E_RPC_VERSION, "rpc_version_mismatch")    \
	X(BRF_E_RPC_PROCEDURE, "rpc_procedure_unknown") \
	X(BRF_E_RPC_ARGUMENT, "rpc_argument_invalid")   \
	X(BRF_E_RPC_UNMATCHED, "rpc_reply_unmatched")   \
	X(BRF_E_RPC_DENIED, "rpc_denied")               \
	X(BRF_E_CHECKSUM, "checksum_mismatch")          \
	X(BRF_E_AUTH, "authentication_failed")          \
	X(BRF_E_KEY, "key_invalid")                     \
	X(BRF_E_DATAGRAM, "datagram_invalid")           \
	X(BRF_E_ANNOUNCE, "announcement_invalid")       \
	X(BRF_E_JSON, "json_invalid")                   \
	X(BRF_E_DOCUMENT, "document_invalid")           \
	X(BRF_E_NOT_FOUND, "not_found")                 \
	X(BRF_E_CONFLICT, "revision_conflict")          \
	X(BRF_E_STORE, "store_failed")                  \
	X(BRF_E_STORE_PROTOCOL, "store_answer_invalid") \
	X(BRF_E_STORE_COMPACTED, "store_compacted")     \
	X(BRF_E_STORE_BEHIND, "store_gone_back")        \
	X(BRF_E_STORE_RESTORED, "store_restored")       \
	X(BRF_E_RELAY_LOST, "relay_lost")               \
	X(BRF_E_WRITE_UNKNOWN, "write_outcome_unknown") \
	X(BRF_E_LIMIT, "limit_reached")

enum brf_errc {
#define X(code, name) code,
	BRF_ERRORS(X)
#undef X
	BRF_ERRC_COUNT
};

#define BRF_ERROR_DETAIL 160

/**
 * struct brf_error - description of a failure.
 * @code: type of the failure; BRF_OK for none
 * @sys: errno or negative libuv code of the cause; 0 for none
 * @detail: text for people that names what failed: a setting, an address, a
 *	field
 *
 * Functions that can fail return false or NULL and fill the struct that the
 * caller passed.  A caller that only needs to know of success passes NULL.
 */
struct brf_error {
	enum brf_errc code;
	int sys;
	char detail[BRF_ERROR_DETAIL];
};

BRF_BEGIN_DECLS

/**
 * brf_error_set() - fill @err; does nothing when it is NULL.
 * @sys: see struct brf_error
 * @fmt: printf() format of the detail, which is cut to fit
 *
 * Return: false, so that a failing function can end in "return
 * (brf_error_set(...))".
 */
bool brf_error_set(struct brf_error *err, enum brf_errc code, int sys,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/**
 * brf_error_name() - name of a type of failure, see BRF_ERRORS.
 */
const char *brf_error_name(enum brf_errc code);

/**
 * brf_error_format() - write name, detail and system error as one line of text.
 * @size: bytes of @out; the text is cut to fit and ends with a NUL
 */
void brf_error_format(const struct brf_error *err, char *out, size_t size);

BRF_END_DECLS

#endif
