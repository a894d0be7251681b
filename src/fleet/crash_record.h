#ifndef BRF_CRASH_RECORD_H
#define BRF_CRASH_RECORD_H

#include "base/error.h"
#include "base/request_key.h"
#include "fleet/entry.h"

/**
 * DOC: Records of crashed targets in the store, beside the targets' entries, so
 * that one watch brings both.
 *
 * A record of an ended incarnation names the requests that were under way:
 *
 *	{"target": ID, "born": N, "service": S, "node": NODE, "at": SECONDS,
 *	"requests": {CALLER: [KEY, ...], ...}}
 *
 * and a clearance names the crashes that don't count against a request:
 *
 *	{"caller": CALLER, "key": KEY, "node": NODE, "why": TEXT,
 *	"incarnations": [HEX, ...]}
 *
 * Each is written once or replaced by one that says more, so that their order
 * does not matter.  They hang on leases of BRF_CRASH_RECORD_TTL_S.
 */

#define BRF_CRASH_PREFIX BRF_ENTRY_PREFIX "ended/"
#define BRF_CLEARANCE_PREFIX BRF_ENTRY_PREFIX "cleared/"
#define BRF_CRASH_KEY_MAX 200u /* bytes of a key in the store, with a NUL */
#define BRF_CRASH_RECORD_TTL_S 600u
#define BRF_CRASH_RECORD_REQUESTS_MAX 1024u
#define BRF_CLEARANCE_MAX 8u /* incarnations in a clearance */

/**
 * struct brf_crash_request - a request that was under way at a crash.
 */
struct brf_crash_request {
	char caller[BRF_NAME_MAX + 1];
	struct brf_request_key key;
};

/**
 * struct brf_crash_record - a record as above.
 * @at: time of day of the crash, seconds
 * @requests: @count of them
 */
struct brf_crash_record {
	char target[BRF_ENTRY_ID_MAX + 1];
	char service[BRF_NAME_MAX + 1];
	char node[BRF_NAME_MAX + 1];
	uint64_t born;
	uint64_t at;
	struct brf_crash_request *requests;
	size_t count;
};

/**
 * struct brf_clearance - a clearance as above.
 * @incarnations: see brf_crash_incarnation(); @count of them
 */
struct brf_clearance {
	struct brf_crash_request request;
	char node[BRF_NAME_MAX + 1];
	char why[BRF_NAME_MAX + 1];
	uint64_t incarnations[BRF_CLEARANCE_MAX];
	size_t count;
};

BRF_BEGIN_DECLS

void brf_crash_record_key(
    const struct brf_crash_record *r, char out[BRF_CRASH_KEY_MAX]);
void brf_crash_record_write(
    const struct brf_crash_record *r, struct brf_buf *out);

/**
 * brf_crash_record_read() - decode a record, which is not trusted.
 * @r: give it to brf_crash_record_free() after success
 *
 * Return: false with BRF_E_JSON or BRF_E_ANNOUNCE when it is malformed.
 */
bool brf_crash_record_read(struct brf_crash_record *r, const char *text,
    size_t len, struct brf_error *err);
void brf_crash_record_free(struct brf_crash_record *r);

void brf_clearance_key(
    const struct brf_clearance *c, char out[BRF_CRASH_KEY_MAX]);
void brf_clearance_write(const struct brf_clearance *c, struct brf_buf *out);
bool brf_clearance_read(struct brf_clearance *c, const char *text, size_t len,
    struct brf_error *err);

BRF_END_DECLS

#endif
