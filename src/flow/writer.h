#ifndef BRF_WRITER_H
#define BRF_WRITER_H

#include <uv.h>

#include "base/buf.h"

#define BRF_WRITER_HIGH_WATER \
	131072u /* bytes waiting, above which it is full */

/**
 * DOC: Bytes on their way into a stream socket.
 *
 * What is added in one turn of the loop goes out in one write.  At most one
 * write waits for the kernel; until it is through, the rest stays in @out.
 */

/**
 * struct brf_writer - start with brf_writer_init().
 * @out: not given to the kernel yet; add here, then brf_writer_flush()
 * @writing: of which the kernel took only a part yet
 * @drained: a write that had to wait is through (0), or failed (libuv code);
 *	not called once the stream is being closed
 */
struct brf_writer {
	uv_stream_t *stream;
	struct brf_buf out;
	struct brf_buf writing;
	uv_write_t request;
	bool busy;
	void (*drained)(struct brf_writer *w, int status);
};

BRF_BEGIN_DECLS

void brf_writer_init(struct brf_writer *w, uv_stream_t *stream,
    void (*drained)(struct brf_writer *w, int status));

/* Only when the stream is closed. */
void brf_writer_free(struct brf_writer *w);

/**
 * brf_writer_flush() - give @out to the kernel, as far as it takes it.
 *
 * Return: 0, or a libuv code when the stream has failed.
 */
int brf_writer_flush(struct brf_writer *w);

/**
 * brf_writer_full() - whether nothing more should be added now.
 *
 * When it is, a write is waiting and @drained will be called.  A stream that
 * has failed is not full; the next brf_writer_flush() says so.
 */
bool brf_writer_full(struct brf_writer *w);

BRF_END_DECLS

#endif
