#include <stdlib.h>

#include "bulrushford.h"
#include "config/store_client.h"
#include "config/store_codec.h"
#include "ctl/ctl.h"
#include "http/fetch.h"
#include "http/server.h"

#define CALLS_PER_S 20.0 /* limit of calls to the store */
#define CALLS_BURST 20.0
#define PARALLEL_FETCHES_MAX 32u    /* pages fetched at a time */
#define REQUEST_TIMEOUT_US 2000000u /* of a page or a call to the store */
#define WAKEUP_REPEAT_MS 10
#define HOST_BYTES 64
#define PORT_MAX 65535

struct brf_ctl *
brf_ctl_new(const struct brf_ctl_options *options)
{
	struct brf_ctl *ctl = brf_calloc(1, sizeof(*ctl));

	ctl->options = *options;
	uv_loop_init(&ctl->loop);
	uv_timer_init(&ctl->loop, &ctl->wakeup);
	ctl->timers = brf_timers_new(brf_clock_system());
	ctl->metrics = brf_metrics_new();
	ctl->random = brf_random_system();
	ctl->http = brf_http_loop_new(&ctl->loop, ctl->timers, ctl->metrics);
	return (ctl);
}

void
brf_ctl_free(struct brf_ctl *ctl)
{
	brf_store_client_free(ctl->store);
	brf_http_loop_free(ctl->http);
	uv_close((uv_handle_t *)&ctl->wakeup, NULL);
	uv_run(&ctl->loop, UV_RUN_DEFAULT);
	uv_loop_close(&ctl->loop);
	brf_metrics_free(ctl->metrics);
	brf_timers_free(ctl->timers);
	free(ctl);
}

/* Does nothing but end the wait of uv_run(); brf_ctl_run_until() runs the
 * timers.  The uv timer repeats, since libuv may fire it before uv_run() begins
 * to wait. */
static void
wake(uv_timer_t *timer)
{
	(void)timer;
}

void
brf_ctl_run_until(struct brf_ctl *ctl, const bool *done)
{
	uint64_t next, now;

	for (;;) {
		brf_timers_run(ctl->timers);
		if (*done)
			return;
		next = brf_timers_next(ctl->timers);
		now = brf_now(brf_timers_clock(ctl->timers));
		uv_update_time(&ctl->loop);
		if (next != BRF_TIMER_NONE)
			uv_timer_start(&ctl->wakeup, wake,
			    next > now ? (next - now) / BRF_US_PER_MS + 1 : 0,
			    WAKEUP_REPEAT_MS);
		uv_run(&ctl->loop, UV_RUN_ONCE);
	}
}

/* Split "host:port"; a host that contains colons is put in brackets. */
static bool
split_address(const char *text, char host[HOST_BYTES], long *port)
{
	const char *colon = strrchr(text, ':');
	size_t len = colon != NULL ? (size_t)(colon - text) : 0;
	char *end;

	if (len == 0 || len >= HOST_BYTES)
		return (false);
	if (text[0] == '[' && text[len - 1] == ']') {
		memcpy(host, text + 1, len - 2);
		host[len - 2] = '\0';
	} else {
		memcpy(host, text, len);
		host[len] = '\0';
	}
	*port = strtol(colon + 1, &end, 10);
	return (
	    end != colon + 1 && *end == '\0' && *port > 0 && *port <= PORT_MAX);
}

bool
brf_ctl_parse_address(
    const char *text, struct sockaddr_storage *addr, struct brf_error *err)
{
	char host[HOST_BYTES];
	const char *ip = host;
	long port;

	memset(addr, 0, sizeof(*addr));
	if (split_address(text, host, &port)) {
		if (strcmp(host, "localhost") == 0)
			ip = "127.0.0.1";
		if (uv_ip4_addr(ip, (int)port, (struct sockaddr_in *)addr) == 0)
			return (true);
		if (uv_ip6_addr(ip, (int)port, (struct sockaddr_in6 *)addr) ==
		    0)
			return (true);
	}
	return (brf_error_set(err, BRF_E_ADDRESS, 0,
	    "\"%s\" is not an IP address or localhost with a port, as "
	    "in 127.0.0.1:8483",
	    text));
}

/**
 * struct page_fetch - GET of a page that is in progress.
 * @json: the parsed page; NULL on failure
 * @err: set on failure
 */
struct page_fetch {
	bool done;
	json_t *json;
	struct brf_error err;
};

static void
page_fetch_done(void *arg, const struct brf_error *err,
    const struct brf_fetch_answer *answer)
{
	struct page_fetch *f = arg;
	json_error_t e;

	f->done = true;
	if (err != NULL) {
		f->err = *err;
	} else if (answer->status != 200) {
		brf_error_set(&f->err,
		    answer->status == 404 ? BRF_E_NOT_FOUND : BRF_E_HTTP, 0,
		    "the node responded with status %d", answer->status);
	} else {
		f->json = json_loadb(
		    answer->body, answer->body_len, JSON_DECODE_ANY, &e);
		if (f->json == NULL)
			brf_error_set(&f->err, BRF_E_JSON, 0,
			    "response of %zu bytes is not JSON",
			    answer->body_len);
	}
}

static void
start_page_fetch(struct brf_ctl *ctl, const struct sockaddr_storage *addr,
    const char *path, struct page_fetch *f)
{
	const struct brf_fetch_call call = {
		.addr = (const struct sockaddr *)addr,
		.method = "GET",
		.path = path,
		.timeout_us = REQUEST_TIMEOUT_US,
		.done = page_fetch_done,
		.arg = f,
	};

	brf_fetch_start(ctl->http, &call);
}

json_t *
brf_ctl_get(struct brf_ctl *ctl, const char *path, struct brf_error *err)
{
	struct sockaddr_storage addr;
	struct page_fetch f = { .done = false };

	if (!brf_ctl_parse_address(ctl->options.node, &addr, err))
		return (NULL);
	start_page_fetch(ctl, &addr, path, &f);
	brf_ctl_run_until(ctl, &f.done);
	if (f.json == NULL)
		*err = f.err;
	return (f.json);
}

static bool
parse_member(const json_t *m, struct brf_ctl_node_page *page)
{
	const char *address, *node, *state;
	struct brf_error err;
	int port;

	if (json_unpack((json_t *)m, "{s:s, s:s, s:s, s:i}", "address",
		&address, "node", &node, "state", &state, "admin_port",
		&port) != 0 ||
	    strcmp(state, "gone") == 0)
		return (false);
	snprintf(page->name, sizeof(page->name),
	    strchr(address, ':') != NULL ? "[%s]:%d" : "%s:%d", address, port);
	return (brf_ctl_parse_address(page->name, &page->addr, &err));
}

struct brf_ctl_node_page *
brf_ctl_fetch_members(struct brf_ctl *ctl, size_t *count, struct brf_error *err)
{
	json_t *list = brf_ctl_get(ctl, "/brf/v1/members", err);
	struct brf_ctl_node_page *pages;
	size_t i, n = json_array_size(list);

	if (list == NULL)
		return (NULL);
	*count = 0;
	pages = brf_calloc(n, sizeof(*pages));
	for (i = 0; i < n; i++) {
		if (parse_member(json_array_get(list, i), &pages[*count]))
			(*count)++;
	}
	json_decref(list);
	return (pages);
}

void
brf_ctl_node_pages_free(struct brf_ctl_node_page *pages, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		json_decref(pages[i].json);
	free(pages);
}

void
brf_ctl_get_all(struct brf_ctl *ctl, const char *path,
    struct brf_ctl_node_page *pages, size_t count)
{
	struct page_fetch f[PARALLEL_FETCHES_MAX];
	size_t first, i, n;

	for (first = 0; first < count; first += n) {
		n = count - first < PARALLEL_FETCHES_MAX ? count - first
							 : PARALLEL_FETCHES_MAX;
		memset(f, 0, sizeof(f));
		for (i = 0; i < n; i++)
			start_page_fetch(
			    ctl, &pages[first + i].addr, path, &f[i]);
		for (i = 0; i < n; i++) {
			brf_ctl_run_until(ctl, &f[i].done);
			json_decref(pages[first + i].json);
			pages[first + i].json = f[i].json;
		}
	}
}

static bool
parse_store_addresses(const char *text, struct brf_store_client_config *config,
    struct brf_error *err)
{
	char *list = brf_strdup(text, strlen(text)), *rest = list, *item;
	bool ok = true;

	while (ok && (item = strsep(&rest, ",")) != NULL) {
		if (config->addr_count == BRF_STORE_ADDRS_MAX)
			ok = brf_error_set(err, BRF_E_SETTING_INVALID, 0,
			    "--store: at most %u addresses",
			    BRF_STORE_ADDRS_MAX);
		else
			ok = brf_ctl_parse_address(
			    item, &config->addrs[config->addr_count++], err);
	}
	free(list);
	return (ok);
}

bool
brf_ctl_open_store(struct brf_ctl *ctl, struct brf_error *err)
{
	struct brf_store_client_config config = {
		.http = ctl->http,
		.timers = ctl->timers,
		.metrics = ctl->metrics,
		.calls_per_s = CALLS_PER_S,
		.burst = CALLS_BURST,
		.timeout_us = REQUEST_TIMEOUT_US,
	};

	if (ctl->store != NULL)
		return (true);
	if (ctl->options.store == NULL)
		return (brf_error_set(err, BRF_E_SETTING_MISSING, 0,
		    "no store is given; use --store or BRF_STORE"));
	if (!parse_store_addresses(ctl->options.store, &config, err))
		return (false);
	ctl->store = brf_store_client_new(&config);
	return (true);
}

/**
 * struct store_call - a call to the store that is in progress.
 * @answer: filled when the call ends
 */
struct store_call {
	struct brf_store_call call;
	struct brf_store_response *answer;
	bool done;
};

/* The store frees @answer after this callback, so keys and values are copied.
 */
static void
store_call_done(
    struct brf_store_call *call, const struct brf_store_response *answer)
{
	struct store_call *c = brf_container_of(call, struct store_call, call);
	const struct brf_store_kv *from;
	struct brf_store_kv *to;
	size_t i;

	c->done = true;
	*c->answer = *answer;
	c->answer->kvs = brf_calloc(answer->count, sizeof(*answer->kvs));
	for (i = 0; i < answer->count; i++) {
		from = &answer->kvs[i];
		to = &c->answer->kvs[i];
		*to = *from;
		to->key = brf_strdup(from->key, strlen(from->key));
		to->value = brf_strdup(from->value, from->len);
	}
}

bool
brf_ctl_call_store(struct brf_ctl *ctl, const struct brf_store_request *request,
    struct brf_store_response *answer, struct brf_error *err)
{
	struct store_call c = { .call = { .request = *request,
				    .done = store_call_done },
		.answer = answer };

	memset(answer, 0, sizeof(*answer));
	if (!brf_ctl_open_store(ctl, err))
		return (false);
	brf_store_start(ctl->store, &c.call);
	brf_ctl_run_until(ctl, &c.done);
	if (answer->outcome == BRF_STORE_DONE)
		return (true);
	*err = answer->err;
	brf_store_response_free(answer);
	return (false);
}

static int
exit_code(enum brf_errc code)
{
	switch (code) {
	case BRF_E_CONNECT:
	case BRF_E_TIMEOUT:
	case BRF_E_CLOSED:
		return (BRF_EXIT_UNREACHABLE);
	case BRF_E_ADDRESS:
	case BRF_E_KEY:
	case BRF_E_SETTING_UNKNOWN:
	case BRF_E_SETTING_MISSING:
	case BRF_E_SETTING_INVALID:
		return (BRF_EXIT_USAGE);
	case BRF_E_CONFLICT:
		return (BRF_EXIT_CONFLICT);
	default:
		return (BRF_EXIT_FAILED);
	}
}

int
brf_ctl_fail(const struct brf_ctl *ctl, const struct brf_error *err)
{
	char text[2 * BRF_ERROR_DETAIL];

	brf_error_format(err, text, sizeof(text));
	fprintf(stderr, "bulrushctl: %s\n", text);
	if (ctl->options.json)
		brf_ctl_print_json(json_pack("{s:s, s:s}", "error",
		    brf_error_name(err->code), "detail", err->detail));
	return (exit_code(err->code));
}

void
brf_ctl_print_json(json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY);

	printf("%s\n", text != NULL ? text : "null");
	free(text);
	json_decref(json);
}
