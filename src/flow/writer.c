#include "flow/writer.h"

void
brf_writer_init(struct brf_writer *w, uv_stream_t *stream,
    void (*drained)(struct brf_writer *w, int status))
{
	memset(w, 0, sizeof(*w));
	w->stream = stream;
	w->drained = drained;
	w->request.data = w;
}

void
brf_writer_free(struct brf_writer *w)
{
	brf_buf_free(&w->out);
	brf_buf_free(&w->writing);
}

static void
on_written(uv_write_t *request, int status)
{
	struct brf_writer *w = request->data;

	if (uv_is_closing((uv_handle_t *)w->stream))
		return;
	w->busy = false;
	if (status < 0)
		w->error = status;
	brf_buf_free(&w->writing);
	w->drained(w, status);
}

/* The kernel took @done bytes of @out; leave the rest to uv_write(). */
static int
write_rest(struct brf_writer *w, size_t done)
{
	uv_buf_t buf;

	w->writing = w->out;
	memset(&w->out, 0, sizeof(w->out));
	w->busy = true;
	buf = uv_buf_init(
	    w->writing.data + done, (unsigned int)(w->writing.len - done));
	return (uv_write(&w->request, w->stream, &buf, 1, on_written));
}

int
brf_writer_flush(struct brf_writer *w)
{
	uv_buf_t buf;
	int n;

	if (w->error != 0)
		return (w->error);
	if (w->busy || w->out.len == 0)
		return (0);
	buf = uv_buf_init(w->out.data, (unsigned int)w->out.len);
	n = uv_try_write(w->stream, &buf, 1);
	if (n == UV_EAGAIN)
		n = 0;
	if (n < 0)
		w->error = n;
	else if ((size_t)n < w->out.len)
		w->error = write_rest(w, (size_t)n);
	else
		brf_buf_free(&w->out);
	return (w->error);
}

size_t
brf_writer_pending(const struct brf_writer *w)
{
	return (w->out.len +
		(w->busy ? uv_stream_get_write_queue_size(w->stream) : 0));
}

bool
brf_writer_full(struct brf_writer *w)
{
	if (brf_writer_pending(w) < BRF_WRITER_HIGH_WATER)
		return (false);
	/* only a waiting write calls @drained; without one, flush now */
	return (brf_writer_flush(w) == 0 && w->busy &&
		brf_writer_pending(w) >= BRF_WRITER_HIGH_WATER);
}
