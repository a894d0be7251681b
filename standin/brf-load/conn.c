#include <stdlib.h>
#include <strings.h>

#include "http/chunks.h"
#include "http/framing.h"
#include "load.h"

#define FIELDS_MAX 100

enum body_kind {
	BODY_HEAD, /* the head has not ended */
	BODY_LENGTH,
	BODY_CHUNKED
};

/**
 * struct load_conn - a connection, with at most one request.
 * @link: in the generator's @idle while it has none
 * @all: in the generator's @conns
 * @parsed: bytes that an incomplete head had at the last try
 * @missing: bytes of the body that have not come
 * @writing: a request is not wholly written
 */
struct load_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct load *load;
	struct load_request *r;
	struct brf_list link;
	struct brf_list all;
	size_t target;
	enum body_kind kind;
	size_t len;
	size_t parsed;
	uint64_t missing;
	struct brf_chunks chunks;
	struct load_answer answer;
	bool keep;
	bool writing;
	bool connected;
	char data[LOAD_READ_SIZE];
};

static void
on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

/* A place has come free; whoever waits longest gets a new connection. */
static void
serve_queue(struct load *load)
{
	struct load_request *r;

	if (load->stopping || brf_list_empty(&load->queue) ||
	    load->conn_count >= load->set->connections)
		return;
	r = brf_list_entry(load->queue.next, struct load_request, link);
	brf_list_remove(&r->link);
	load_conn_assign(load, r);
}

static void
close_conn(struct load_conn *c)
{
	if (uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	brf_list_remove(&c->link);
	brf_list_remove(&c->all);
	c->load->conn_count--;
	uv_close((uv_handle_t *)&c->tcp, on_closed);
	serve_queue(c->load);
}

static void
fail_conn(struct load_conn *c, enum load_end end)
{
	struct load_request *r = c->r;

	c->r = NULL;
	close_conn(c);
	if (r == NULL)
		return;
	r->conn = NULL;
	load_request_end(r, end, NULL);
}

static enum load_end
loss_of(const struct load_conn *c)
{
	return (c->kind != BODY_HEAD || c->len != 0 ? LOAD_TORN : LOAD_LOST);
}

static void
on_written(uv_write_t *req, int status)
{
	struct load_conn *c = req->data;

	if (uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	c->writing = false;
	if (status < 0)
		fail_conn(c, LOAD_LOST);
}

static void
write_request(struct load_conn *c)
{
	const struct brf_buf *text = &c->r->stream->text;
	uv_buf_t buf = uv_buf_init(text->data, (unsigned int)text->len);
	int n = uv_try_write((uv_stream_t *)&c->tcp, &buf, 1);

	if (n == UV_EAGAIN)
		n = 0;
	if (n < 0) {
		fail_conn(c, LOAD_LOST);
		return;
	}
	if ((size_t)n == text->len)
		return;
	buf.base += n;
	buf.len -= (size_t)n;
	c->writing = true;
	if (uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written) <
	    0)
		fail_conn(c, LOAD_LOST);
}

static void
start_request(struct load_conn *c, struct load_request *r)
{
	brf_list_remove(&c->link);
	c->r = r;
	r->conn = c;
	c->kind = BODY_HEAD;
	c->len = 0;
	c->parsed = 0;
	c->answer = (struct load_answer){ .status = 0 };
	brf_chunks_init(&c->chunks);
	if (c->connected)
		write_request(c);
}

static void
take_queued(struct load_conn *c)
{
	struct brf_list *queue = &c->load->queue;
	struct load_request *r;

	if (brf_list_empty(queue)) {
		brf_list_prepend(&c->load->idle[c->target], &c->link);
		return;
	}
	r = brf_list_entry(queue->next, struct load_request, link);
	brf_list_remove(&r->link);
	start_request(c, r);
}

static void
finish_answer(struct load_conn *c)
{
	struct load_request *r = c->r;
	struct load_answer answer = c->answer;

	c->r = NULL;
	r->conn = NULL;
	if (c->keep && !c->writing)
		take_queued(c);
	else
		close_conn(c);
	load_request_end(r, LOAD_ANSWER, &answer);
}

static bool
field_is(const struct phr_header *h, const char *name)
{
	return (h->name != NULL && strlen(name) == h->name_len &&
		strncasecmp(h->name, name, h->name_len) == 0);
}

static bool
value_is(const struct phr_header *h, const char *value)
{
	return (strlen(value) == h->value_len &&
		strncasecmp(h->value, value, h->value_len) == 0);
}

static void
copy_value(char *out, size_t size, const struct phr_header *h)
{
	size_t len = h->value_len < size - 1 ? h->value_len : size - 1;

	memcpy(out, h->value, len);
	out[len] = '\0';
}

static uint64_t
number_of(const struct phr_header *h)
{
	char text[24];

	copy_value(text, sizeof(text), h);
	return (strtoull(text, NULL, 10));
}

static void
take_field(struct load_conn *c, const struct phr_header *h)
{
	struct load_answer *a = &c->answer;

	if (field_is(h, "connection")) {
		c->keep = c->keep && !value_is(h, "close");
	} else if (field_is(h, "retry-after")) {
		a->retry_after_s = (uint32_t)number_of(h);
	} else if (field_is(h, BRF_H_OUTCOME)) {
		copy_value(a->outcome, sizeof(a->outcome), h);
	} else if (field_is(h, BRF_H_REASON)) {
		copy_value(a->reason, sizeof(a->reason), h);
	} else if (field_is(h, BRF_H_ATTEMPTS)) {
		a->attempts = (uint32_t)number_of(h);
	}
}

static bool
has_no_body(const struct load_conn *c)
{
	return (c->answer.status == 204 || c->answer.status == 304 ||
		strcmp(c->r->stream->set->method, "HEAD") == 0);
}

/* Return: bytes of the head, or a negative value as phr_parse_response(). */
static int
read_head(struct load_conn *c)
{
	struct phr_header fields[FIELDS_MAX];
	size_t i, n = FIELDS_MAX, msg_len;
	struct brf_http_framing framing;
	const char *msg;
	int minor, used;

	used = phr_parse_response(c->data, c->len, &minor, &c->answer.status,
	    &msg, &msg_len, fields, &n, c->parsed);
	c->parsed = c->len;
	if (used < 0)
		return (used);
	if (c->answer.status < 200 || c->answer.status > 599 ||
	    !brf_http_framing_parse(&framing, fields, n))
		return (-1);
	c->keep = minor >= 1;
	for (i = 0; i < n; i++)
		take_field(c, &fields[i]);
	if (!has_no_body(c) && !framing.chunked && !framing.has_length)
		return (-1); /* its end would prove nothing */
	c->kind =
	    framing.chunked && !has_no_body(c) ? BODY_CHUNKED : BODY_LENGTH;
	c->missing = has_no_body(c) ? 0 : framing.length;
	return (used);
}

/* Return: 1 when the body has ended, 0 when it goes on, -1 when broken. */
static int
read_body(struct load_conn *c)
{
	struct brf_buf input = { .data = c->data, .len = c->len };
	size_t len = c->len, decoded, used;
	enum brf_chunks_result result;

	c->len = 0;
	if (c->kind == BODY_LENGTH) {
		if (len > c->missing)
			return (-1);
		c->missing -= len;
		return (c->missing == 0);
	}
	result = brf_chunks_decode(&c->chunks, &input, len, &decoded, &used);
	if (result == BRF_CHUNKS_INCOMPLETE)
		return (0);
	return (result == BRF_CHUNKS_COMPLETE && used == len ? 1 : -1);
}

static void
read_answer(struct load_conn *c)
{
	int used, ended;

	if (c->kind == BODY_HEAD) {
		used = read_head(c);
		if (used == -2 && c->len < sizeof(c->data))
			return;
		if (used < 0) {
			fail_conn(c, LOAD_TORN);
			return;
		}
		c->len -= (size_t)used;
		memmove(c->data, c->data + used, c->len);
	}
	ended = read_body(c);
	if (ended < 0)
		fail_conn(c, LOAD_TORN);
	else if (ended > 0)
		finish_answer(c);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct load_conn *c = handle->data;

	(void)suggested;
	buf->base = c->data + c->len;
	buf->len = sizeof(c->data) - c->len;
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct load_conn *c = stream->data;

	(void)buf;
	if (n == 0 || uv_is_closing((uv_handle_t *)stream))
		return;
	if (n < 0 || c->r == NULL) {
		fail_conn(c, loss_of(c));
		return;
	}
	c->len += (size_t)n;
	read_answer(c);
}

static void
on_connect(uv_connect_t *req, int status)
{
	struct load_conn *c = req->data;

	if (uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	if (status < 0) {
		fail_conn(c, LOAD_NO_CONNECTION);
		return;
	}
	c->connected = true;
	uv_tcp_nodelay(&c->tcp, 1);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
	if (c->r != NULL)
		write_request(c);
}

static struct load_conn *
open_conn(struct load *load, size_t target)
{
	struct load_conn *c = brf_calloc(1, sizeof(*c));

	c->load = load;
	c->target = target;
	uv_tcp_init(&load->loop, &c->tcp);
	c->tcp.data = c;
	c->connect.data = c;
	c->write.data = c;
	brf_list_init(&c->link);
	brf_list_init(&c->all);
	brf_list_append(&load->conns, &c->all);
	load->conn_count++;
	return (c);
}

void
load_conn_assign(struct load *load, struct load_request *r)
{
	size_t target = load->turn++ % load->set->to_count;
	struct brf_list *idle = &load->idle[target];
	struct load_conn *c;

	if (!brf_list_empty(idle)) {
		c = brf_list_entry(idle->next, struct load_conn, link);
		start_request(c, r);
		return;
	}
	if (load->conn_count >= load->set->connections) {
		load->queued++;
		brf_list_append(&load->queue, &r->link);
		return;
	}
	c = open_conn(load, target);
	start_request(c, r);
	if (uv_tcp_connect(&c->connect, &c->tcp,
		(const struct sockaddr *)&load->set->to[target],
		on_connect) < 0)
		fail_conn(c, LOAD_NO_CONNECTION);
}

void
load_conn_abandon(struct load *load, struct load_request *r)
{
	struct load_conn *c = r->conn;

	brf_list_remove(&r->link);
	r->conn = NULL;
	if (c == NULL)
		return;
	c->r = NULL;
	close_conn(c);
}

static void
end_all(struct brf_list *requests)
{
	struct load_request *r;

	while (!brf_list_empty(requests)) {
		r = brf_list_entry(requests->next, struct load_request, link);
		brf_list_remove(&r->link);
		load_request_end(r, LOAD_UNFINISHED, NULL);
	}
}

void
load_conn_close_all(struct load *load)
{
	struct load_conn *c;

	while (!brf_list_empty(&load->conns)) {
		c = brf_list_entry(load->conns.next, struct load_conn, all);
		fail_conn(c, LOAD_UNFINISHED);
	}
	end_all(&load->queue);
	end_all(&load->pausing);
}
