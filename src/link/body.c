#include "link/impl.h"

struct brf_link_text
brf_link_peek_part(struct brf_link_out *out, bool *end)
{
	struct brf_link_text part = { .data = "", .len = 0 };

	*end = out->pipe == NULL;
	if (out->pipe == NULL)
		return (part);
	part.data = brf_pipe_data(out->pipe);
	part.len = brf_pipe_len(out->pipe);
	*end =
	    out->pipe->state == BRF_PIPE_ENDED && part.len <= BRF_LINK_PART_MAX;
	if (part.len > BRF_LINK_PART_MAX)
		part.len = BRF_LINK_PART_MAX;
	if (part.len == 0)
		part.data = "";
	return (part);
}

void
brf_link_consume_part(struct brf_link_out *out, size_t len, bool end)
{
	out->done = end;
	out->window -= len;
	if (len != 0)
		brf_pipe_consume(out->pipe, len);
}

static void
write_part(struct brf_link_stream *s, size_t len)
{
	struct brf_pipe *pipe = s->out.pipe;
	struct brf_link_data data = { .stream = s->xid };

	data.part.data = len != 0 ? brf_pipe_data(pipe) : "";
	data.part.len = len;
	data.end = pipe->state == BRF_PIPE_ENDED && brf_pipe_len(pipe) == len;
	data.broken = pipe->state == BRF_PIPE_BROKEN;
	brf_link_data_put(&s->lc->conn.out, &data);
	brf_link_consume_part(&s->out, len, data.end || data.broken);
	brf_conn_schedule_write(&s->lc->conn);
}

void
brf_link_send_body(struct brf_link_stream *s)
{
	struct brf_pipe *pipe = s->out.pipe;
	size_t len;

	while (pipe != NULL && !s->out.done && !s->lc->conn.closing) {
		len = brf_pipe_len(pipe);
		if (len > s->out.window)
			len = s->out.window;
		if (len > BRF_LINK_PART_MAX)
			len = BRF_LINK_PART_MAX;
		if (pipe->state == BRF_PIPE_BROKEN)
			len = 0;
		else if (len == 0 && !brf_pipe_finished(pipe))
			return;
		write_part(s, len);
	}
}

void
brf_link_update_window(struct brf_link_stream *s)
{
	struct brf_pipe *pipe = s->in.pipe;
	uint64_t allowed;
	struct brf_link_window_update window = { .stream = s->xid };

	if (s->in.done || s->lc == NULL || s->lc->conn.closing)
		return;
	allowed = pipe->written - brf_pipe_backlog(pipe) + BRF_LINK_WINDOW;
	if (allowed < s->in.granted + BRF_LINK_WINDOW / 2)
		return;
	window.bytes = (uint32_t)(allowed - s->in.granted);
	s->in.granted = allowed;
	brf_link_window_update_put(&s->lc->conn.out, &window);
	brf_conn_schedule_write(&s->lc->conn);
}

bool
brf_link_receive_part(struct brf_link_stream *s,
    const struct brf_link_text *part, bool end, bool broken,
    struct brf_error *err)
{
	struct brf_pipe *pipe = s->in.pipe;

	if (s->in.done || pipe->written + part->len > s->in.granted)
		return (brf_error_set(
		    err, BRF_E_RPC_ARGUMENT, 0, "body exceeds its window"));
	brf_pipe_write(pipe, part->data, part->len);
	brf_pipe_wake_when_low(pipe);
	s->in.done = end || broken;
	if (end)
		brf_pipe_end(pipe);
	else if (broken)
		brf_pipe_break(pipe);
	return (true);
}
