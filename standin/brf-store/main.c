#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>

#include <argtable2.h>
#include <h2o.h>

#include "base/random.h"
#include "standin/brf-store/api.h"

/**
 * DOC: Stand-in of the platform's store, for tests and the demo.
 *
 * Speaks the JSON form of the etcd v3 API on one loopback port, keeps all in
 * memory, and makes faults when told so by POST /control with a JSON object:
 *
 * down (bool): connections are closed, watches too
 * slow_ms: each answer waits
 * error_ratio: share of calls that get a 503 and take no effect
 * drop_answers: that many next writes take effect and get no answer
 * silent_watches (bool): watches stay open and tell nothing
 * break_watches (true): watches are closed now
 * compact, rollback, replay: a revision; forget what was before it, go back
 * to it, tell watches all changes since it again
 *
 * GET /statz counts calls.  --port 0 lets the kernel choose; the first line of
 * output is {"port": n}.
 */

#define TICK_MS 5
#define LISTEN_BACKLOG 128
#define STATUS_UNAVAILABLE 503

/**
 * struct watch - an open watch; memory of its request's pool.
 * @from: next revision to tell
 * @out: is being sent
 * @queue: comes after it
 */
struct watch {
	h2o_generator_t generator;
	struct brf_list link;
	h2o_req_t *req;
	struct kv_range range;
	uint64_t from;
	bool sending;
	struct brf_buf out;
	struct brf_buf queue;
};

/**
 * struct late - an answer that waits; memory of its request's pool.
 */
struct late {
	struct brf_list link;
	h2o_req_t *req;
	uint64_t due;
	int status;
	char *text;
};

struct faults {
	bool down;
	bool silent_watches;
	uint64_t slow_ms;
	uint64_t drop_answers;
	double error_ratio;
};

struct counts {
	uint64_t calls;
	uint64_t reads;
	uint64_t writes;
	uint64_t watches_opened;
	uint64_t watches_open;
	uint64_t errors;
	uint64_t dropped;
};

static struct {
	uv_loop_t loop;
	uv_tcp_t listener;
	uv_timer_t tick;
	uv_signal_t signals[2];
	h2o_globalconf_t config;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	struct api api;
	struct faults faults;
	struct counts counts;
	struct brf_random_seeded random;
	struct brf_list watches;
	struct brf_list late;
} server;

static void
send_text(h2o_req_t *req, int status, const char *text)
{
	req->res.status = status;
	req->res.reason = status < 400 ? "OK" : "Error";
	req->res.content_length = strlen(text);
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
	    NULL, H2O_STRLIT("application/json"));
	h2o_send_inline(req, text, strlen(text));
}

static void
send_json(h2o_req_t *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	send_text(req, status, text != NULL ? text : "{}");
	free(text);
	json_decref(body);
}

/* The caller sees its connection end, whatever is sent afterwards. */
static void
cut(h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

	shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
	send_text(req, STATUS_UNAVAILABLE, "{}");
}

static void
late_disposed(void *p)
{
	struct late *late = p;

	brf_list_remove(&late->link);
	free(late->text);
}

static void
answer(h2o_req_t *req, int status, json_t *body)
{
	struct late *late;

	if (server.faults.slow_ms == 0) {
		send_json(req, status, body);
		return;
	}
	late = h2o_mem_alloc_shared(&req->pool, sizeof(*late), late_disposed);
	memset(late, 0, sizeof(*late));
	late->req = req;
	late->due = uv_now(&server.loop) + server.faults.slow_ms;
	late->status = status;
	late->text = json_dumps(body, JSON_COMPACT);
	brf_list_append(&server.late, &late->link);
	json_decref(body);
}

static void
flush_watch(struct watch *w)
{
	struct brf_buf sent = w->out;
	h2o_iovec_t vec;

	if (w->sending || w->queue.len == 0)
		return;
	w->out = w->queue;
	w->queue = sent;
	brf_buf_clear(&w->queue);
	vec = h2o_iovec_init(w->out.data, w->out.len);
	w->sending = true;
	h2o_send(w->req, &vec, 1, H2O_SEND_STATE_IN_PROGRESS);
}

static void
watch_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	struct watch *w = brf_container_of(generator, struct watch, generator);

	w->sending = false;
	flush_watch(w);
}

static void
watch_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	struct watch *w = brf_container_of(generator, struct watch, generator);

	brf_list_remove(&w->link);
}

static void
watch_disposed(void *p)
{
	struct watch *w = p;

	brf_list_remove(&w->link);
	server.counts.watches_open--;
	api_free_range(&w->range);
	brf_buf_free(&w->out);
	brf_buf_free(&w->queue);
}

static void
tell(struct watch *w, json_t *result)
{
	json_t *line = json_pack("{s:o}", "result", result);
	char *text = json_dumps(line, JSON_COMPACT);

	brf_buf_puts(&w->queue, text);
	brf_buf_putc(&w->queue, '\n');
	free(text);
	json_decref(line);
	flush_watch(w);
}

static void
end_watch(struct watch *w)
{
	brf_list_remove(&w->link);
	h2o_send(w->req, NULL, 0, H2O_SEND_STATE_ERROR);
}

static void
end_watches(void)
{
	struct brf_list *l, *tmp;

	brf_list_foreach_safe (l, tmp, &server.watches)
		end_watch(brf_list_entry(l, struct watch, link));
}

/* Tell @w all changes from w->from on, those of one revision together. */
static void
catch_up(struct watch *w)
{
	json_t *events = json_array();
	struct kv_change *c;
	struct brf_list *l;

	brf_list_foreach (l, &server.api.kv.changes) {
		c = brf_list_entry(l, struct kv_change, link);
		if (c->revision >= w->from && kv_in_range(&w->range, &c->key))
			json_array_append_new(events, api_event(c));
	}
	if (w->from <= server.api.kv.revision)
		w->from = server.api.kv.revision + 1;
	if (json_array_size(events) == 0) {
		json_decref(events);
		return;
	}
	tell(w, json_pack("{s:o, s:o}", "header", api_header(&server.api),
		    "events", events));
}

static void
tell_watches(void)
{
	struct brf_list *l, *tmp;

	if (server.faults.silent_watches)
		return;
	brf_list_foreach_safe (l, tmp, &server.watches)
		catch_up(brf_list_entry(l, struct watch, link));
}

static struct watch *
add_watch(h2o_req_t *req)
{
	struct watch *w;

	w = h2o_mem_alloc_shared(&req->pool, sizeof(*w), watch_disposed);
	memset(w, 0, sizeof(*w));
	w->generator.proceed = watch_proceed;
	w->generator.stop = watch_stop;
	w->req = req;
	brf_list_append(&server.watches, &w->link);
	server.counts.watches_opened++;
	server.counts.watches_open++;
	return (w);
}

static void
open_watch(h2o_req_t *req, const json_t *body)
{
	const json_t *create = json_object_get(body, "create_request");
	uint64_t from, compacted = server.api.kv.compacted;
	struct kv_range range;
	struct watch *w;
	json_t *result;

	if (!api_read_integer(create, "start_revision", &from) ||
	    !api_read_range(create, &range)) {
		send_text(req, 400, "{\"error\":\"invalid\",\"code\":3}");
		return;
	}
	w = add_watch(req);
	w->range = range;
	w->from = from != 0 ? from : server.api.kv.revision + 1;
	req->res.status = 200;
	req->res.reason = "OK";
	h2o_start_response(req, &w->generator);
	result = json_pack(
	    "{s:o, s:b}", "header", api_header(&server.api), "created", 1);
	if (w->from <= compacted) {
		json_object_set_new(result, "canceled", json_true());
		json_object_set_new(result, "compact_revision",
		    json_sprintf("%llu", (unsigned long long)compacted));
	}
	tell(w, result);
	if (w->from > compacted && !server.faults.silent_watches)
		catch_up(w);
}

static void
run_call(h2o_req_t *req, const char *path, const json_t *body)
{
	struct api_answer got;
	bool is_write;

	if (brf_random_unit(&server.random.random) <
	    server.faults.error_ratio) {
		server.counts.errors++;
		answer(req, STATUS_UNAVAILABLE,
		    json_pack("{s:s, s:i}", "error", "etcdserver: no leader",
			"code", 14));
		return;
	}
	server.api.now = uv_now(&server.loop);
	got = api_call(&server.api, path, body, &is_write);
	if (is_write)
		server.counts.writes++;
	else
		server.counts.reads++;
	tell_watches();
	if (is_write && server.faults.drop_answers > 0) {
		server.faults.drop_answers--;
		server.counts.dropped++;
		json_decref(got.body);
		cut(req);
		return;
	}
	answer(req, got.status, got.body);
}

static void
show_counts(h2o_req_t *req)
{
	const struct counts *c = &server.counts;

	send_json(req, 200,
	    json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "calls",
		(json_int_t)c->calls, "reads", (json_int_t)c->reads, "writes",
		(json_int_t)c->writes, "watches_opened",
		(json_int_t)c->watches_opened, "watches_open",
		(json_int_t)c->watches_open, "errors", (json_int_t)c->errors,
		"dropped", (json_int_t)c->dropped, "revision",
		(json_int_t)server.api.kv.revision));
}

static void
set_flag(const json_t *body, const char *name, bool *flag)
{
	const json_t *value = json_object_get(body, name);

	if (value != NULL)
		*flag = json_is_true(value);
}

static void
set_number(const json_t *body, const char *name, uint64_t *number)
{
	if (json_object_get(body, name) != NULL)
		api_read_integer(body, name, number);
}

static void
replay_from(uint64_t revision)
{
	struct brf_list *l;

	brf_list_foreach (l, &server.watches)
		brf_list_entry(l, struct watch, link)->from = revision;
	tell_watches();
}

static void
control(h2o_req_t *req, const json_t *body)
{
	struct faults *f = &server.faults;
	const json_t *ratio = json_object_get(body, "error_ratio");
	uint64_t compact = 0, rollback = 0, replay = 0;
	bool break_watches = false;

	set_flag(body, "down", &f->down);
	set_flag(body, "silent_watches", &f->silent_watches);
	set_flag(body, "break_watches", &break_watches);
	set_number(body, "slow_ms", &f->slow_ms);
	set_number(body, "drop_answers", &f->drop_answers);
	set_number(body, "compact", &compact);
	set_number(body, "rollback", &rollback);
	set_number(body, "replay", &replay);
	if (ratio != NULL)
		f->error_ratio = json_number_value(ratio);
	if (compact != 0)
		kv_compact(&server.api.kv, compact);
	if (rollback != 0)
		kv_rollback(&server.api.kv, rollback);
	if (f->down || break_watches)
		end_watches();
	if (replay != 0)
		replay_from(replay);
	send_text(req, 200, "{}");
}

static void
dispatch(h2o_req_t *req, const char *path, const json_t *body)
{
	if (strcmp(path, "/control") == 0) {
		control(req, body);
		return;
	}
	if (strcmp(path, "/statz") == 0) {
		show_counts(req);
		return;
	}
	server.counts.calls++;
	if (server.faults.down)
		cut(req);
	else if (strcmp(path, "/v3/watch") == 0)
		open_watch(req, body);
	else
		run_call(req, path, body);
}

static int
on_request(h2o_handler_t *handler, h2o_req_t *req)
{
	char *path =
	    brf_strdup(req->path_normalized.base, req->path_normalized.len);
	json_error_t e;
	json_t *body =
	    json_loadb(req->entity.base != NULL ? req->entity.base : "",
		req->entity.len, 0, &e);

	dispatch(req, path, body);
	json_decref(body);
	free(path);
	return (0);
}

static void
on_tick(uv_timer_t *timer)
{
	uint64_t now = uv_now(&server.loop), revision = server.api.kv.revision;
	struct brf_list *l, *tmp;
	struct late *late;

	server.api.now = now;
	api_lapse(&server.api);
	if (server.api.kv.revision != revision)
		tell_watches();
	brf_list_foreach_safe (l, tmp, &server.late) {
		late = brf_list_entry(l, struct late, link);
		if (late->due > now)
			continue;
		brf_list_remove(l);
		send_text(late->req, late->status, late->text);
	}
}

static void
free_handle(uv_handle_t *handle)
{
	free(handle);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	uv_tcp_t *conn;
	h2o_socket_t *sock;

	if (status != 0)
		return;
	conn = brf_calloc(1, sizeof(*conn));
	uv_tcp_init(&server.loop, conn);
	if (uv_accept(listener, (uv_stream_t *)conn) != 0) {
		uv_close((uv_handle_t *)conn, free_handle);
		return;
	}
	uv_tcp_nodelay(conn, 1);
	sock = h2o_uv_socket_create((uv_stream_t *)conn, free_handle);
	h2o_accept(&server.accept, sock);
}

static void
on_signal(uv_signal_t *handle, int signum)
{
	uv_stop(handle->loop);
}

static void
setup_http(void)
{
	h2o_hostconf_t *host;
	h2o_handler_t *handler;

	h2o_config_init(&server.config);
	host = h2o_config_register_host(
	    &server.config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	handler = h2o_create_handler(
	    h2o_config_register_path(host, "/", 0), sizeof(*handler));
	handler->on_req = on_request;
	h2o_context_init(&server.ctx, &server.loop, &server.config);
	server.accept.ctx = &server.ctx;
	server.accept.hosts = server.config.hosts;
}

/* Return: the port in use; 0 when it could not be taken. */
static int
listen_on(int port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int len = sizeof(addr);

	uv_tcp_init(&server.loop, &server.listener);
	if (uv_tcp_bind(&server.listener, (struct sockaddr *)&addr, 0) != 0 ||
	    uv_listen((uv_stream_t *)&server.listener, LISTEN_BACKLOG,
		on_connection) != 0)
		return (0);
	uv_tcp_getsockname(&server.listener, (struct sockaddr *)&addr, &len);
	return (ntohs(addr.sin_port));
}

static int
serve(int port, uint64_t seed)
{
	size_t i;

	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&server.loop);
	api_init(&server.api);
	brf_random_seeded_init(&server.random, seed);
	brf_list_init(&server.watches);
	brf_list_init(&server.late);
	setup_http();
	port = listen_on(port);
	if (port == 0) {
		fprintf(stderr, "brf-store: can't listen\n");
		return (1);
	}
	uv_timer_init(&server.loop, &server.tick);
	uv_timer_start(&server.tick, on_tick, TICK_MS, TICK_MS);
	for (i = 0; i < brf_nitems(server.signals); i++) {
		uv_signal_init(&server.loop, &server.signals[i]);
		uv_signal_start(
		    &server.signals[i], on_signal, i == 0 ? SIGTERM : SIGINT);
	}
	printf("{\"port\": %d}\n", port);
	fflush(stdout);
	uv_run(&server.loop, UV_RUN_DEFAULT);
	return (0);
}

int
main(int argc, char **argv)
{
	struct arg_int *port = arg_int0(
	    NULL, "port", "N", "loopback port; 0 lets the kernel choose");
	struct arg_int *seed =
	    arg_int0(NULL, "seed", "N", "seed of error_ratio");
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_end *end = arg_end(4);
	void *table[] = { port, seed, help, end };
	int status = 0;

	port->ival[0] = 0;
	seed->ival[0] = 1;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "brf-store");
		status = 2;
	} else if (help->count > 0) {
		printf("usage: brf-store");
		arg_print_syntaxv(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
	} else {
		status = serve(port->ival[0], (uint64_t)seed->ival[0]);
	}
	arg_freetable(table, brf_nitems(table));
	return (status);
}
