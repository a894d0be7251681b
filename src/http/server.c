#include <stdlib.h>

#include <h2o.h>

#include "base/log.h"
#include "base/outcome.h"
#include "bulrushford.h"
#include "http/fields.h"
#include "http/loop.h"
#include "http/server.h"
#include "http/watch.h"

/**
 * DOC: How the caller's disconnect is noticed.
 *
 * h2o 2.2 doesn't read an HTTP/1 connection while a request is in progress,
 * so the end of the caller's stream is watched for apart from it, see
 * watch.h.  Reading ahead would do it as well, but h2o keeps pointers into its
 * input buffer, and pipelined bytes would have to be bounded; peeking on a
 * timer is late, or costs calls while nothing happens.  The watch costs one
 * system call per connection and none per request.
 *
 * A caller that closes only its sending side counts as gone: TCP shows both
 * alike, HTTP has no use for a half-closed client, and RFC 9112, section 9.5,
 * wants received closures answered promptly.
 *
 * On HTTP/2 h2o reads on, and frees the stream's memory pool when the stream
 * or the connection ends; an entry in the pool tells of it.
 */

#define LISTEN_BACKLOG 1024
#define REQUEST_TIMEOUT_MS 30000    /* for a whole request to come; idle time */
#define DEFAULT_HOST "host.invalid" /* h2o's stand-in for an absent host */
#define HOST_MAX 255
#define FIELDS_MAX 128 /* hop-by-hop ones included */

/**
 * struct conn - one connection of a caller.
 * @sock: h2o's view of @tcp; NULL once it is closed
 * @watch: tells the end of the caller's stream
 * @h2: requests came by HTTP/2
 * @gone: the caller closed its side
 * @requests: requests that are with the handler
 */
struct conn {
	uv_tcp_t tcp;
	struct brf_http_watch watch;
	struct brf_http_server *server;
	h2o_socket_t *sock;
	struct brf_list link;
	struct brf_list requests;
	bool h2;
	bool gone;
};

struct brf_http_server {
	struct brf_http_loop *hl;
	struct brf_http_handler *handler;
	uv_tcp_t listener;
	bool listening;
	bool stopping;
	bool disposed;
	struct brf_list conns;
	size_t conn_count;
	h2o_globalconf_t config;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	void (*closed)(void *arg);
	void *closed_arg;
	struct brf_metric *requests;
	struct brf_metric *refused;
	struct brf_metric *gone;
	struct brf_metric *connections;
};

/**
 * struct pool_entry - what h2o's memory pool of a request holds for us.
 * @request: NULL once it is answered
 * @answer: kept until h2o has sent it
 */
struct pool_entry {
	struct brf_http_request *request;
	struct brf_message *answer;
};

struct brf_http_request {
	struct brf_http_server *server;
	struct conn *conn;
	h2o_req_t *req; /* NULL once h2o has dropped it */
	struct pool_entry *entry;
	struct brf_message *message;
	struct brf_list link;
	struct brf_http_task task; /* tells the handler that it is gone */
	void *data;
	char host[HOST_MAX + 1];
};

struct h2o_handler {
	h2o_handler_t super;
	struct brf_http_server *server;
};

static void
request_free(struct brf_http_request *r)
{
	if (r->entry != NULL)
		r->entry->request = NULL;
	brf_http_task_cancel(&r->task);
	brf_list_remove(&r->link);
	brf_message_unref(r->message);
	free(r);
}

static void
tell_gone(struct brf_http_request *r)
{
	struct brf_http_handler *handler = r->server->handler;

	r->server->gone->value++;
	handler->vt->gone(handler, r);
	request_free(r);
}

static void
gone_task(struct brf_http_task *task)
{
	tell_gone(brf_container_of(task, struct brf_http_request, task));
}

static void
dispose_entry(void *arg)
{
	struct pool_entry *entry = arg;
	struct brf_http_request *r = entry->request;

	brf_message_unref(entry->answer);
	if (r == NULL)
		return;
	r->entry = NULL;
	r->req = NULL;
	r->conn = NULL;
	brf_list_remove(&r->link);
	brf_http_task_post(r->server->hl, &r->task);
}

static struct pool_entry *
entry_new(h2o_req_t *req, struct brf_http_request *r)
{
	struct pool_entry *entry =
	    h2o_mem_alloc_shared(&req->pool, sizeof(*entry), dispose_entry);

	entry->request = r;
	entry->answer = NULL;
	return (entry);
}

static h2o_generator_t *
generator(void)
{
	static h2o_generator_t whole_answer; /* nothing to proceed or stop */

	return (&whole_answer);
}

static void
add_field(h2o_req_t *req, const char *name, const char *value, bool copy)
{
	size_t name_len = strlen(name), value_len = strlen(value);

	if (copy) {
		name = h2o_strdup(&req->pool, name, name_len).base;
		value = h2o_strdup(&req->pool, value, value_len).base;
	}
	h2o_add_header_by_str(&req->pool, &req->res.headers, name, name_len, 1,
	    NULL, value, value_len);
}

/* RFC 9110, section 8.6: such answers have no length. */
static bool
status_has_length(int status)
{
	return (status >= 200 && status != 204 && status != 304);
}

static const char *
phrase(int status)
{
	static const struct {
		int status;
		const char *text;
	} phrases[] = { { 200, "OK" }, { 201, "Created" }, { 202, "Accepted" },
		{ 204, "No Content" }, { 304, "Not Modified" },
		{ 400, "Bad Request" }, { 401, "Unauthorized" },
		{ 403, "Forbidden" }, { 404, "Not Found" },
		{ 405, "Method Not Allowed" }, { 409, "Conflict" },
		{ 413, "Content Too Large" }, { 414, "URI Too Long" },
		{ 429, "Too Many Requests" },
		{ 431, "Request Header Fields Too Large" },
		{ 500, "Internal Server Error" }, { 502, "Bad Gateway" },
		{ 503, "Service Unavailable" }, { 504, "Gateway Timeout" } };
	size_t i;

	for (i = 0; i < brf_nitems(phrases); i++) {
		if (phrases[i].status == status)
			return (phrases[i].text);
	}
	return (""); /* RFC 9112, section 4: it may be left out */
}

static void
send_whole(h2o_req_t *req, int status, const char *body, size_t len)
{
	bool head = h2o_memis(
	    req->input.method.base, req->input.method.len, H2O_STRLIT("HEAD"));
	h2o_iovec_t buf = h2o_iovec_init(body, len);

	req->res.status = status;
	req->res.reason = phrase(status);
	req->res.content_length = status_has_length(status) ? len : SIZE_MAX;
	h2o_start_response(req, generator());
	if (head || len == 0 || !status_has_length(status))
		h2o_send(req, NULL, 0, H2O_SEND_STATE_FINAL);
	else
		h2o_send(req, &buf, 1, H2O_SEND_STATE_FINAL);
}

/* End a connection without h2o's help; h2o sees the end of its stream. */
static void
cut_connection(struct conn *c)
{
	if (c->sock != NULL)
		shutdown(h2o_socket_get_fd(c->sock), SHUT_RDWR);
}

/*
 * HTTP/1: after the shutdown nothing of what h2o sends can leave; it is the
 * only way to make h2o let go of a connection that it doesn't read.
 */
static void
cut_request(h2o_req_t *req, struct conn *c)
{
	if (req->version < 0x200)
		cut_connection(c);
	req->http1_is_persistent = 0;
	req->res.status = 500;
	req->res.reason = "Aborted";
	h2o_start_response(req, generator());
	h2o_send(req, NULL, 0, H2O_SEND_STATE_ERROR);
}

static void
refuse(struct brf_http_server *server, h2o_req_t *req, int status,
    enum brf_reason reason)
{
	const char *text = brf_reason_name(reason);

	server->refused->value++;
	req->http1_is_persistent = 0;
	add_field(req, BRF_H_OUTCOME, brf_outcome_name(BRF_NOT_RUN), false);
	add_field(req, BRF_H_REASON, text, false);
	send_whole(req, status, text, strlen(text));
}

static bool
copy_host(struct brf_http_request *r, const h2o_req_t *req)
{
	const char *host = req->input.authority.base, *p;
	size_t i, len = req->input.authority.len;

	if (host == NULL || h2o_memis(host, len, H2O_STRLIT(DEFAULT_HOST)))
		return (req->version != 0x101);
	p = memchr(host, ':', len);
	if (len != 0 && host[0] == '[')
		p = memchr(host, ']', len) != NULL
			? (const char *)memchr(host, ']', len) + 1
			: NULL;
	if (p != NULL)
		len = (size_t)(p - host);
	if (len > HOST_MAX)
		return (false);
	for (i = 0; i < len; i++) {
		if (host[i] <= ' ' || host[i] > '~')
			return (false);
	}
	memcpy(r->host, host, len);
	return (true);
}

/*
 * h2o drops the second of two lengths or hosts, and the length beside a
 * transfer coding, where other parties may choose differently.  The head is
 * still at the start of h2o's input, so it is read again (RFC 9112, sections
 * 3.2 and 6.3).  One length that is written twice is refused as well.
 */
static bool
read_http1_fields(
    const h2o_socket_t *sock, struct phr_header *fields, size_t *count)
{
	const char *method, *path;
	size_t method_len, path_len, i, hosts = 0, lengths = 0;
	int minor_version;

	if (phr_parse_request(sock->input->bytes, sock->input->size, &method,
		&method_len, &path, &path_len, &minor_version, fields, count,
		0) < 0)
		return (false);
	for (i = 0; i < *count; i++) {
		if (brf_http_field_is(&fields[i], "host"))
			hosts++;
		if (brf_http_field_is(&fields[i], "content-length") ||
		    brf_http_field_is(&fields[i], "transfer-encoding"))
			lengths++;
	}
	return (hosts <= 1 && lengths <= 1);
}

static bool
take_fields(struct brf_message *m, const h2o_req_t *req,
    const h2o_socket_t *sock, struct brf_error *err)
{
	struct phr_header fields[FIELDS_MAX];
	size_t i, count = FIELDS_MAX;

	if (req->version < 0x200) {
		if (!read_http1_fields(sock, fields, &count))
			return (brf_error_set(err, BRF_E_HEADERS, 0, "head"));
		return (brf_http_fields_take(m, fields, count, err));
	}
	count = req->headers.size;
	if (count > FIELDS_MAX)
		return (brf_error_set(
		    err, BRF_E_TOO_LARGE, 0, "%zu fields", count));
	for (i = 0; i < count; i++)
		fields[i] = (struct phr_header){
			.name = req->headers.entries[i].name->base,
			.name_len = req->headers.entries[i].name->len,
			.value = req->headers.entries[i].value.base,
			.value_len = req->headers.entries[i].value.len,
		};
	return (brf_http_fields_take(m, fields, count, err));
}

/* Return: 0, or the status of a refusal, with its reason. */
static int
read_request(
    struct brf_http_request *r, const h2o_req_t *req, enum brf_reason *reason)
{
	struct brf_message *m = r->message;
	h2o_iovec_t path = req->input.path, method = req->input.method;
	struct brf_error err = { .code = BRF_OK };

	*reason = BRF_R_MALFORMED;
	if (!brf_http_method_is_valid(method.base, method.len) ||
	    !brf_http_path_is_valid(path.base, path.len) || !copy_host(r, req))
		return (400);
	memcpy(m->method, method.base, method.len);
	if (!take_fields(m, req, r->conn->sock, &err)) {
		if (err.code != BRF_E_TOO_LARGE)
			return (400);
		*reason = BRF_R_HEADERS;
		return (brf_reason_status(BRF_R_HEADERS));
	}
	*reason = BRF_R_TOO_LARGE;
	if (!brf_message_set_path(m, path.base, path.len, NULL))
		return (414);
	if (req->entity.len > BRF_BODY_MAX)
		return (brf_reason_status(BRF_R_TOO_LARGE));
	if (req->entity.len != 0)
		brf_buf_add(&m->body, req->entity.base, req->entity.len);
	return (0);
}

static int
on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct brf_http_server *server =
	    brf_container_of(self, struct h2o_handler, super)->server;
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	struct conn *c = sock->on_close.data;
	struct brf_http_request *r;
	enum brf_reason reason;
	int status;

	c->h2 = req->version >= 0x200;
	if (c->gone) {
		cut_request(req, c);
		return (0);
	}
	r = brf_calloc(1, sizeof(*r));
	r->message = brf_message_new();
	r->server = server;
	r->conn = c;
	r->req = req;
	brf_http_task_init(&r->task, gone_task);
	brf_list_init(&r->link);
	status = read_request(r, req, &reason);
	if (status != 0) {
		request_free(r);
		refuse(server, req, status, reason);
		return (0);
	}
	server->requests->value++;
	r->entry = entry_new(req, r);
	brf_list_append(&c->requests, &r->link);
	server->handler->vt->handle(server->handler, r);
	return (0);
}

/* h2o's own refusals speak of requests that no handler has seen. */
static void
mark_refusal(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
	enum brf_reason reason =
	    req->res.status == 413 ? BRF_R_TOO_LARGE : BRF_R_MALFORMED;

	add_field(req, BRF_H_OUTCOME, brf_outcome_name(BRF_NOT_RUN), false);
	add_field(req, BRF_H_REASON, brf_reason_name(reason), false);
	h2o_setup_next_ostream(req, slot);
}

static void server_try_dispose(struct brf_http_server *server);

static void
conn_closed(uv_handle_t *handle)
{
	struct conn *c = brf_container_of(handle, struct conn, tcp);
	struct brf_http_server *server = c->server;

	brf_list_remove(&c->link);
	free(c);
	server->conn_count--;
	server->connections->value--;
	server_try_dispose(server);
}

/* Called by h2o when it closes its socket. */
static void
conn_sock_closed(void *arg)
{
	struct conn *c = arg;

	c->sock = NULL;
}

static void
peer_gone(struct brf_http_watch *watch)
{
	struct conn *c = brf_container_of(watch, struct conn, watch);
	struct brf_http_request *r;
	h2o_req_t *req;
	struct brf_list *l, *next;

	c->gone = true;
	brf_list_foreach_safe (l, next, &c->requests) {
		r = brf_list_entry(l, struct brf_http_request, link);
		if (r->req->version >= 0x200)
			continue; /* h2o sees it, and ends the streams */
		req = r->req;
		r->entry->request = NULL;
		r->entry = NULL;
		r->req = NULL;
		r->conn = NULL;
		brf_list_remove(&r->link);
		brf_http_task_post(r->server->hl, &r->task);
		cut_request(req, c);
	}
}

static bool
accept_conn(struct conn *c, uv_stream_t *listener)
{
	uv_os_fd_t fd;

	return (uv_accept(listener, (uv_stream_t *)&c->tcp) == 0 &&
		uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0 &&
		brf_http_watch_start(c->server->hl, &c->watch, fd));
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct brf_http_server *server = listener->data;
	struct conn *c;

	if (status != 0)
		return;
	c = brf_calloc(1, sizeof(*c));
	c->server = server;
	c->watch.ended = peer_gone;
	brf_list_init(&c->requests);
	uv_tcp_init(server->hl->loop, &c->tcp);
	brf_list_append(&server->conns, &c->link);
	server->conn_count++;
	server->connections->value++;
	if (!accept_conn(c, listener)) {
		uv_close((uv_handle_t *)&c->tcp, conn_closed);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	c->sock = h2o_uv_socket_create((uv_stream_t *)&c->tcp, conn_closed);
	c->sock->on_close.cb = conn_sock_closed;
	c->sock->on_close.data = c;
	h2o_accept(&server->accept, c->sock);
}

static void
configure(struct brf_http_server *server)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct h2o_handler *handler;
	h2o_filter_t *filter;

	h2o_config_init(&server->config);
	server->config.server_name = h2o_iovec_init(NULL, 0);
	server->config.max_request_entity_size = BRF_BODY_MAX;
	server->config.http1.req_timeout = REQUEST_TIMEOUT_MS;
	server->config.http2.idle_timeout = REQUEST_TIMEOUT_MS;
	host = h2o_config_register_host(
	    &server->config, h2o_iovec_init(H2O_STRLIT(DEFAULT_HOST)), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler =
	    (struct h2o_handler *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->server = server;
	filter = h2o_create_filter(&host->fallback_path, sizeof(*filter));
	filter->on_setup_ostream = mark_refusal;
	h2o_context_init(&server->ctx, server->hl->loop, &server->config);
	server->accept.ctx = &server->ctx;
	server->accept.hosts = server->config.hosts;
}

static void
make_metrics(struct brf_http_server *server, const char *name)
{
	struct brf_metrics *m = server->hl->metrics;
	char labels[64];

	snprintf(labels, sizeof(labels), "server=\"%s\"", name);
	server->requests = brf_metrics_counter(m, "brf_http_requests_total",
	    "Requests taken by a handler.", labels);
	server->refused = brf_metrics_counter(m, "brf_http_refused_total",
	    "Requests refused for their form or size.", labels);
	server->gone = brf_metrics_counter(m, "brf_http_disconnects_total",
	    "Requests whose caller went away before the answer.", labels);
	server->connections = brf_metrics_gauge(
	    m, "brf_http_connections", "Open connections of callers.", labels);
}

static int
start_listening(struct brf_http_server *server, const struct sockaddr *addr)
{
	int rc = uv_tcp_bind(&server->listener, addr, 0);

	if (rc != 0)
		return (rc);
	return (uv_listen(
	    (uv_stream_t *)&server->listener, LISTEN_BACKLOG, on_connection));
}

static uint16_t
listener_port(const struct brf_http_server *server)
{
	struct sockaddr_storage addr = { .ss_family = AF_UNSPEC };
	int len = sizeof(addr);

	uv_tcp_getsockname(&server->listener, (struct sockaddr *)&addr, &len);
	if (addr.ss_family == AF_INET6)
		return (ntohs(((struct sockaddr_in6 *)&addr)->sin6_port));
	return (ntohs(((struct sockaddr_in *)&addr)->sin_port));
}

static void
free_failed(uv_handle_t *listener)
{
	free(listener->data);
}

struct brf_http_server *
brf_http_server_new(struct brf_http_loop *hl, const char *name,
    const struct sockaddr *addr, struct brf_http_handler *handler,
    uint16_t *port, struct brf_error *err)
{
	struct brf_http_server *server = brf_calloc(1, sizeof(*server));
	int rc;

	server->hl = hl;
	server->handler = handler;
	brf_list_init(&server->conns);
	uv_tcp_init(hl->loop, &server->listener);
	server->listener.data = server;
	rc = start_listening(server, addr);
	if (rc != 0) {
		uv_close((uv_handle_t *)&server->listener, free_failed);
		brf_error_set(
		    err, BRF_E_BIND, rc, "%s: %s", name, uv_strerror(rc));
		return (NULL);
	}
	server->listening = true;
	*port = listener_port(server);
	make_metrics(server, name);
	configure(server);
	return (server);
}

/* HTTP/1 connections where nothing of a request has come are idle. */
static bool
is_idle(const struct conn *c)
{
	char byte;

	return (brf_list_empty(&c->requests) && c->sock != NULL &&
		c->sock->input->size == 0 &&
		recv(h2o_socket_get_fd(c->sock), &byte, 1,
		    MSG_PEEK | MSG_DONTWAIT) < 0);
}

void
brf_http_server_stop(struct brf_http_server *server)
{
	struct brf_list *l, *next;
	struct conn *c;

	if (server->stopping)
		return;
	server->stopping = true;
	if (server->listening)
		uv_close((uv_handle_t *)&server->listener, NULL);
	server->listening = false;
	h2o_context_request_shutdown(&server->ctx);
	brf_list_foreach_safe (l, next, &server->conns) {
		c = brf_list_entry(l, struct conn, link);
		if (!c->h2 && is_idle(c))
			cut_connection(c);
	}
}

size_t
brf_http_server_connections(const struct brf_http_server *server)
{
	return (server->conn_count);
}

static void
server_closed(void *arg)
{
	struct brf_http_server *server = arg;

	h2o_config_dispose(&server->config);
	server->closed(server->closed_arg);
}

static void
server_try_dispose(struct brf_http_server *server)
{
	if (server->closed == NULL || server->conn_count != 0 ||
	    server->disposed)
		return;
	server->disposed = true;
	/* h2o leaves it running, and insists that no timer does */
	if (h2o_timeout_is_linked(
		&server->ctx.http2._graceful_shutdown_timeout))
		h2o_timeout_unlink(
		    &server->ctx.http2._graceful_shutdown_timeout);
	h2o_context_dispose(&server->ctx);
	brf_http_after_close(server->hl, server_closed, server);
}

void
brf_http_server_close(
    struct brf_http_server *server, void (*closed)(void *arg), void *arg)
{
	struct brf_list *l, *next;
	struct conn *c;

	server->closed = closed;
	server->closed_arg = arg;
	server->stopping = true;
	if (server->listening)
		uv_close((uv_handle_t *)&server->listener, NULL);
	server->listening = false;
	brf_list_foreach_safe (l, next, &server->conns) {
		c = brf_list_entry(l, struct conn, link);
		cut_connection(c);
	}
	server_try_dispose(server);
}

void
brf_http_server_free(struct brf_http_server *server)
{
	free(server);
}

struct brf_message *
brf_http_request_message(const struct brf_http_request *request)
{
	return (request->message);
}

const char *
brf_http_request_host(const struct brf_http_request *request)
{
	return (request->host);
}

void
brf_http_request_set_data(struct brf_http_request *request, void *data)
{
	request->data = data;
}

void *
brf_http_request_data(const struct brf_http_request *request)
{
	return (request->data);
}

static void
add_answer_fields(h2o_req_t *req, const struct brf_message *answer)
{
	const struct brf_header *h;
	size_t i;

	for (i = 0; i < answer->header_count; i++) {
		h = &answer->headers[i];
		/* h2o writes the date */
		if (brf_header_is_hop_by_hop(h->name) ||
		    brf_http_field_is_internal(h->name) ||
		    strcmp(h->name, "date") == 0)
			continue;
		add_field(req, h->name, h->value, false);
	}
}

void
brf_http_respond(struct brf_http_request *request, struct brf_message *answer,
    const struct brf_header *extra, size_t extra_count)
{
	h2o_req_t *req = request->req;
	size_t i;

	if (req != NULL) {
		request->entry->answer = brf_message_ref(answer);
		add_answer_fields(req, answer);
		for (i = 0; i < extra_count; i++)
			add_field(req, extra[i].name, extra[i].value, true);
		if (request->server->stopping)
			req->http1_is_persistent = 0;
	}
	request_free(request);
	if (req != NULL)
		send_whole(
		    req, answer->status, answer->body.data, answer->body.len);
}

void
brf_http_abort(struct brf_http_request *request)
{
	h2o_req_t *req = request->req;
	struct conn *c = request->conn;

	request_free(request);
	if (req != NULL)
		cut_request(req, c);
}
