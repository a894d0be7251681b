#include <ctype.h>
#include <stdlib.h>
#include <strings.h>

#include "base/outcome.h"
#include "bulrushford.h"
#include "http/fields.h"
#include "http/framing.h"
#include "http/server_impl.h"

#define HOST_MAX 255
#define FIELDS_MAX 128 /* including hop-by-hop fields */

/**
 * struct pool_entry - our data in h2o's memory pool of a request.
 * @request: NULL once the request is answered or its client disconnected
 * @answer: referenced until h2o has sent it
 */
struct pool_entry {
	struct brf_http_server *server;
	struct brf_http_request *request;
	struct brf_message *answer;
};

struct brf_http_request {
	struct brf_http_server *server;
	struct brf_http_conn *conn;
	h2o_req_t *req; /* NULL once the client disconnected */
	struct pool_entry *entry;
	struct brf_message *message;
	struct brf_list link;
	struct brf_http_task task; /* reports a disconnect to the handler */
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
report_disconnect(struct brf_http_request *r)
{
	struct brf_http_handler *handler = r->server->handler;

	r->server->disconnected->value++;
	handler->vt->disconnected(handler, r);
	request_free(r);
}

static void
disconnect_task(struct brf_http_task *task)
{
	report_disconnect(
	    brf_container_of(task, struct brf_http_request, task));
}

/*
 * The request can't be answered any more: let go of h2o's side and tell the
 * handler in the next loop iteration.
 */
static void
detach(struct brf_http_request *r)
{
	r->entry = NULL;
	r->req = NULL;
	r->conn = NULL;
	brf_list_remove(&r->link);
	brf_http_task_post(r->server->hl, &r->task);
}

static void
dispose_entry(void *arg)
{
	struct pool_entry *entry = arg;
	struct brf_http_request *r = entry->request;

	if (entry->answer != NULL)
		entry->server->writing--;
	brf_message_unref(entry->answer);
	if (r != NULL)
		detach(r);
}

static struct pool_entry *
entry_new(h2o_req_t *req, struct brf_http_request *r)
{
	struct pool_entry *entry =
	    h2o_mem_alloc_shared(&req->pool, sizeof(*entry), dispose_entry);

	entry->server = r->server;
	entry->request = r;
	entry->answer = NULL;
	return (entry);
}

static h2o_generator_t *
answer_generator(void)
{
	static h2o_generator_t generator; /* answers are sent at once */

	return (&generator);
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

/* RFC 9110, section 8.6: no content-length with 1xx, 204 and 304. */
static bool
status_has_length(int status)
{
	return (status >= 200 && status != 204 && status != 304);
}

static struct brf_http_conn *
conn_of(h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

	return (sock->on_close.data);
}

/* Prepare for the close that follows the connection's last answer. */
static void
prepare_close(h2o_req_t *req)
{
	struct brf_http_conn *c = conn_of(req);

	if (req->version < 0x200 ? !req->http1_is_persistent
				 : c->server->stopping)
		brf_http_conn_prepare_linger(c);
}

static void
send_answer(h2o_req_t *req, int status, const char *body, size_t len)
{
	bool head = h2o_memis(
	    req->input.method.base, req->input.method.len, H2O_STRLIT("HEAD"));
	h2o_iovec_t buf = h2o_iovec_init(body, len);

	prepare_close(req);
	req->res.status = status;
	req->res.reason = brf_http_reason_phrase(status);
	req->res.content_length =
	    status_has_length(status) && !head ? len : SIZE_MAX;
	h2o_start_response(req, answer_generator());
	if (head || len == 0 || !status_has_length(status))
		h2o_send(req, NULL, 0, H2O_SEND_STATE_FINAL);
	else
		h2o_send(req, &buf, 1, H2O_SEND_STATE_FINAL);
}

/*
 * Ends a request so that the client doesn't get a complete answer.  h2o doesn't
 * read an HTTP/1 connection while a request is in progress, and closes it only
 * after an answer; the answer sent here can't leave the shut-down socket.
 */
static void
abort_request(h2o_req_t *req, struct brf_http_conn *c)
{
	if (req->version < 0x200)
		brf_http_conn_shutdown(c);
	req->http1_is_persistent = 0;
	req->res.status = 500;
	req->res.reason = "Aborted";
	h2o_start_response(req, answer_generator());
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
	send_answer(req, status, text, strlen(text));
}

/*
 * RFC 9112, section 3.2.2: a request target in absolute form is accepted, and
 * its authority overrides the "host" field.
 */
static void
split_request_target(
    const h2o_req_t *req, h2o_iovec_t *authority, h2o_iovec_t *path)
{
	static const char scheme[] = "http://";
	size_t skip = sizeof(scheme) - 1;
	const char *slash;

	*authority = req->input.authority;
	*path = req->input.path;
	if (path->len < skip || strncasecmp(path->base, scheme, skip) != 0)
		return;
	authority->base = path->base + skip;
	authority->len = path->len - skip;
	slash = memchr(authority->base, '/', authority->len);
	if (slash == NULL) {
		*path = h2o_iovec_init("/", 1);
		return;
	}
	authority->len = (size_t)(slash - authority->base);
	path->base += skip + authority->len;
	path->len -= skip + authority->len;
}

/* Return: length of the host in @authority, without the port. */
static size_t
host_length(h2o_iovec_t authority)
{
	const char *end = memchr(authority.base, ':', authority.len);

	if (authority.len != 0 && authority.base[0] == '[') {
		end = memchr(authority.base, ']', authority.len);
		end = end != NULL ? end + 1 : NULL;
	}
	return (end != NULL ? (size_t)(end - authority.base) : authority.len);
}

/* Host names ignore case (RFC 9110, section 4.2.3): copied in lower case. */
static bool
copy_host(
    struct brf_http_request *r, const h2o_req_t *req, h2o_iovec_t authority)
{
	size_t i, len;

	if (authority.base == NULL || h2o_memis(authority.base, authority.len,
					  H2O_STRLIT(BRF_HTTP_NO_HOST)))
		return (req->version != 0x101);
	len = host_length(authority);
	if (len > HOST_MAX)
		return (false);
	for (i = 0; i < len; i++) {
		if (authority.base[i] <= ' ' || authority.base[i] > '~')
			return (false);
		r->host[i] = (char)tolower((unsigned char)authority.base[i]);
	}
	return (true);
}

/*
 * h2o ignores the second of two content-length or "host" fields, and a
 * content-length beside a transfer coding, where another recipient may choose
 * differently.  So the head, which is still at the start of h2o's input, is
 * parsed again to refuse such requests (RFC 9112, sections 3.2 and 6.3).  Two
 * equal content-length fields are refused as well.
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

/*
 * h2o decodes chunks as laxly as its parser does (see chunks.c), and leaves no
 * way to check them.  So nothing behind them is read as a request.
 */
static void
close_behind_chunks(
    h2o_req_t *req, const struct phr_header *fields, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (brf_http_field_is(&fields[i], "transfer-encoding"))
			req->http1_is_persistent = 0;
	}
}

static bool
copy_fields(struct brf_message *m, h2o_req_t *req, const h2o_socket_t *sock,
    struct brf_error *err)
{
	struct phr_header fields[FIELDS_MAX];
	size_t i, count = FIELDS_MAX;

	if (req->version < 0x200) {
		if (!read_http1_fields(sock, fields, &count))
			return (brf_error_set(err, BRF_E_HEADERS, 0, "head"));
		close_behind_chunks(req, fields, count);
		return (brf_http_fields_copy(m, fields, count, err));
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
	return (brf_http_fields_copy(m, fields, count, err));
}

/* Return: 0, or the HTTP status of a refusal with *reason set. */
static int
read_request(
    struct brf_http_request *r, h2o_req_t *req, enum brf_reason *reason)
{
	struct brf_message *m = r->message;
	h2o_iovec_t authority, path, method = req->input.method;
	struct brf_error err = { .code = BRF_OK };

	*reason = BRF_R_MALFORMED;
	split_request_target(req, &authority, &path);
	if (!brf_http_method_is_valid(method.base, method.len) ||
	    !brf_http_path_is_valid(path.base, path.len) ||
	    !copy_host(r, req, authority))
		return (400);
	memcpy(m->method, method.base, method.len);
	if (!copy_fields(m, req, r->conn->sock, &err)) {
		if (err.code != BRF_E_TOO_LARGE)
			return (400);
		*reason = BRF_R_HEADERS_TOO_LARGE;
		return (brf_reason_status(BRF_R_HEADERS_TOO_LARGE));
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
	struct brf_http_conn *c = conn_of(req);
	struct brf_http_request *r;
	enum brf_reason reason;
	int status;

	c->h2 = req->version >= 0x200;
	if (c->disconnected) {
		abort_request(req, c);
		return (0);
	}
	r = brf_calloc(1, sizeof(*r));
	r->message = brf_message_new();
	r->server = server;
	r->conn = c;
	r->req = req;
	brf_http_task_init(&r->task, disconnect_task);
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

/* Add our fields to h2o's own refusals: no handler received the request. */
static void
add_refusal_fields(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
	enum brf_reason reason =
	    req->res.status == 413 ? BRF_R_TOO_LARGE : BRF_R_MALFORMED;

	prepare_close(req);
	add_field(req, BRF_H_OUTCOME, brf_outcome_name(BRF_NOT_RUN), false);
	add_field(req, BRF_H_REASON, brf_reason_name(reason), false);
	h2o_setup_next_ostream(req, slot);
}

void
brf_http_requests_register(struct brf_http_server *server, h2o_hostconf_t *host)
{
	h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
	struct h2o_handler *handler =
	    (struct h2o_handler *)h2o_create_handler(path, sizeof(*handler));
	h2o_filter_t *filter =
	    h2o_create_filter(&host->fallback_path, sizeof(*filter));

	handler->super.on_req = on_request;
	handler->server = server;
	filter->on_setup_ostream = add_refusal_fields;
}

void
brf_http_conn_disconnected(struct brf_http_conn *c)
{
	struct brf_http_request *r;
	struct brf_list *l, *next;
	h2o_req_t *req;

	brf_list_foreach_safe (l, next, &c->requests) {
		r = brf_list_entry(l, struct brf_http_request, link);
		req = r->req;
		if (req->version >= 0x200)
			continue; /* h2o itself ends HTTP/2 streams */
		r->entry->request = NULL;
		detach(r);
		abort_request(req, c);
	}
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
		/* h2o adds its own date */
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
		request->server->writing++;
		add_answer_fields(req, answer);
		for (i = 0; i < extra_count; i++)
			add_field(req, extra[i].name, extra[i].value, true);
		if (request->server->stopping)
			req->http1_is_persistent = 0;
	}
	request_free(request);
	if (req != NULL)
		send_answer(
		    req, answer->status, answer->body.data, answer->body.len);
}

void
brf_respond_json(
    struct brf_http_request *request, int status, struct brf_buf *text)
{
	struct brf_message *m = brf_message_new();

	m->status = status;
	m->body = *text;
	memset(text, 0, sizeof(*text));
	brf_message_add_header(
	    m, "content-type", 12, "application/json", 16, NULL);
	brf_http_respond(request, m, NULL, 0);
	brf_message_unref(m);
}

void
brf_respond_metrics(
    struct brf_http_request *request, const struct brf_metrics *metrics)
{
	struct brf_message *m = brf_message_new();

	m->status = 200;
	brf_message_add_header(
	    m, "content-type", 12, "text/plain; version=0.0.4", 25, NULL);
	brf_metrics_write(metrics, &m->body);
	brf_http_respond(request, m, NULL, 0);
	brf_message_unref(m);
}

void
brf_respond_status(struct brf_http_request *request, int status)
{
	struct brf_message *m = brf_message_new();

	m->status = status;
	brf_http_respond(request, m, NULL, 0);
	brf_message_unref(m);
}

void
brf_http_abort(struct brf_http_request *request)
{
	h2o_req_t *req = request->req;
	struct brf_http_conn *c = request->conn;

	request_free(request);
	if (req != NULL)
		abort_request(req, c);
}
