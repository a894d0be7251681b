#ifndef STANDIN_API_H
#define STANDIN_API_H

#include <jansson.h>

#include "standin/brf-store/kv.h"

/**
 * DOC: The etcd v3 API in JSON, without its HTTP.
 */

/**
 * struct api_lease - a lease and when it lapses, milliseconds.
 */
struct api_lease {
	struct brf_list link;
	uint64_t id;
	uint64_t ttl_s;
	uint64_t until;
};

struct api {
	struct kv kv;
	struct brf_list leases;
	uint64_t next_lease;
	uint64_t now; /* set before each call, milliseconds */
};

/**
 * struct api_answer - HTTP status and body; the caller gives up @body's
 * reference.
 */
struct api_answer {
	int status;
	json_t *body;
};

void api_init(struct api *api);

/**
 * api_call() - run one call.
 * @path: such as "/v3/kv/put"
 * @is_write: set when the call may change something
 */
struct api_answer api_call(
    struct api *api, const char *path, const json_t *body, bool *is_write);

/* Drop the leases that have lapsed by api->now. */
void api_lapse(struct api *api);

/* Read "key" and "range_end". */
bool api_read_range(const json_t *body, struct kv_range *range);
void api_free_range(struct kv_range *range);

bool api_read_integer(const json_t *body, const char *name, uint64_t *out);

/* {"cluster_id": ..., "revision": ...} */
json_t *api_header(const struct api *api);

/* An event of a watch, without the header. */
json_t *api_event(const struct kv_change *c);

#endif
