#include <stdlib.h>

#include "mesh/relay_impl.h"

/**
 * struct read - an open read of all keys with a prefix.
 * @outer: the caller's call
 * @inner: to the store
 * @query: to a relay
 * @sent_at: clock time when @inner was started
 */
struct read {
	struct brf_list link;
	struct brf_mesh_relay *owner;
	struct brf_store_call *outer;
	struct brf_store_call inner;
	struct brf_query query;
	char prefix[BRF_LINK_PREFIX_MAX + 1];
	uint64_t sent_at;
};

/**
 * struct read_log - what was read last.
 * @log: without keys when it was read from a relay
 * @proved_at: clock time up to which all changes are known
 */
struct read_log {
	struct brf_list link;
	char prefix[BRF_LINK_PREFIX_MAX + 1];
	struct brf_watch_log log;
	uint64_t proved_at;
};

static void
read_free(struct read *read)
{
	brf_store_cancel(read->owner->config.origin, &read->inner);
	brf_query_close(&read->query);
	brf_list_remove(&read->link);
	free(read);
}

static void
complete(struct read *read, const struct brf_store_response *response)
{
	struct brf_store_call *outer = read->outer;

	read_free(read);
	outer->impl = NULL;
	outer->done(outer, response);
}

static struct read_log *
find_log(const struct brf_mesh_relay *r, const char *prefix)
{
	struct read_log *log;
	struct brf_list *l;

	brf_list_foreach (l, &r->read_logs) {
		log = brf_list_entry(l, struct read_log, link);
		if (strcmp(log->prefix, prefix) == 0)
			return (log);
	}
	return (NULL);
}

static void
log_free(struct read_log *log)
{
	brf_list_remove(&log->link);
	brf_watch_log_finish(&log->log);
	free(log);
}

static struct read_log *
keep_read(const struct read *read, uint64_t revision, uint64_t proved_at)
{
	struct read_log *log = find_log(read->owner, read->prefix);

	if (log != NULL)
		log_free(log);
	log = brf_calloc(1, sizeof(*log));
	brf_copy_name(log->prefix, sizeof(log->prefix), read->prefix);
	brf_watch_log_init(&log->log, revision);
	log->proved_at = proved_at;
	brf_list_append(&read->owner->read_logs, &log->link);
	return (log);
}

uint64_t
brf_relay_take_read(struct brf_mesh_relay *r, const char *prefix,
    uint64_t revision, struct brf_watch_log *log)
{
	struct read_log *found = find_log(r, prefix);
	uint64_t proved_at;

	brf_watch_log_init(log, revision);
	if (found == NULL)
		return (0);
	if (found->log.has_keys && found->log.revision == revision) {
		log->has_keys = true;
		brf_list_move(&log->keys, &found->log.keys);
	}
	proved_at = found->proved_at;
	log_free(found);
	return (proved_at);
}

static void
direct_done(
    struct brf_store_call *inner, const struct brf_store_response *response)
{
	struct read *read = brf_container_of(inner, struct read, inner);

	if (response->outcome == BRF_STORE_DONE)
		brf_watch_log_read(
		    &keep_read(read, 0, read->sent_at)->log, response);
	complete(read, response);
}

static void
start_direct(struct read *read)
{
	read->inner.request = (struct brf_store_request){
		.op = BRF_STORE_GET, .key = read->prefix, .prefix = true
	};
	read->inner.done = direct_done;
	read->sent_at = brf_mesh_relay_now(read->owner);
	brf_store_start(read->owner->config.origin, &read->inner);
}

static void
query_done(struct brf_query *query, enum brf_query_result result,
    const struct brf_link_watch_reply *reply)
{
	struct read *read = brf_container_of(query, struct read, query);
	struct brf_store_response response = { .outcome = BRF_STORE_DONE };

	if (result != BRF_QUERY_OK) {
		brf_query_close(query);
		start_direct(read);
		return;
	}
	keep_read(read, reply->event.revision,
	    brf_relay_proved_at(read->owner, reply));
	response.revision = reply->event.revision;
	response.kvs = reply->event.kvs;
	response.count = reply->event.count;
	complete(read, &response);
}

bool
brf_relay_read_start(struct brf_mesh_relay *r, struct brf_store_call *call)
{
	const struct brf_store_request *request = &call->request;
	const struct brf_entry *entry = brf_relay_choose_one(r);
	struct read *read;

	if (request->op != BRF_STORE_GET || !request->prefix ||
	    request->latest_only || request->at_revision != 0 ||
	    strlen(request->key) > BRF_LINK_PREFIX_MAX)
		return (false);
	read = brf_calloc(1, sizeof(*read));
	read->owner = r;
	read->outer = call;
	brf_copy_name(read->prefix, sizeof(read->prefix), request->key);
	brf_query_init(&read->query, r, query_done);
	read->query.avoids = false;
	brf_list_append(&r->reads, &read->link);
	if (entry != NULL && brf_query_open(&read->query, entry))
		brf_query_ask(&read->query, read->prefix, 0, UINT64_MAX,
		    BRF_RELAY_READ_SILENT_US);
	else
		start_direct(read);
	return (true);
}

bool
brf_relay_read_cancel(struct brf_mesh_relay *r, struct brf_store_call *call)
{
	struct brf_list *l, *next;
	struct read *read;

	brf_list_foreach_safe (l, next, &r->reads) {
		read = brf_list_entry(l, struct read, link);
		if (read->outer != call)
			continue;
		read_free(read);
		return (true);
	}
	return (false);
}

void
brf_relay_reads_restored(struct brf_mesh_relay *r)
{
	struct brf_store_response response = { .outcome = BRF_STORE_REFUSED };
	struct brf_list *l, reads;

	brf_error_set(&response.err, BRF_E_STORE_RESTORED, 0,
	    "the store was restored from an older copy");
	brf_list_init(&reads);
	brf_list_move(&reads, &r->reads);
	while ((l = brf_list_pop(&reads)) != NULL)
		complete(brf_list_entry(l, struct read, link), &response);
	brf_relay_reads_free(r);
}

void
brf_relay_reads_free(struct brf_mesh_relay *r)
{
	struct brf_list *l;

	while ((l = brf_list_pop(&r->read_logs)) != NULL)
		log_free(brf_list_entry(l, struct read_log, link));
}
