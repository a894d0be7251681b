#ifndef BRF_WRITER_H
#define BRF_WRITER_H

#include <uv.h>

#include "base/buf.h"

#define BRF_WRITER_HIGH_WATER 131072u /* pending bytes; the writer is full */

/**
 * DOC: Output buffer of a stream socket.
 *
 * Bytes added in one iteration of the loop go out in one write.  At most one
 * write waits for the kernel; until it completes, further bytes stay in @out.
 */

/**
 * struct brf_writer - start with brf_writer_init().
 * @out: bytes not yet passed to the kernel; append here, then call
 *	brf_writer_flush()
 * @writing: buffer of the write that waits for the kernel
 * @busy: a write waits for the kernel
 * @error: first error of a write, a libuv code; 0 for none.  The socket
 *	reports it only once.
 * @drained: called when a write that had to wait has completed (@status 0) or
 *	failed (libuv code); not called once the stream is being closed
 */
struct brf_writer {
	uv_stream_t *stream;
	struct brf_buf out;
	struct brf_buf writing;
	uv_write_t request;
	bool busy;
	int error;
	void (*drained)(struct brf_writer *w, int status);
};

BRF_BEGIN_DECLS

void brf_writer_init(struct brf_writer *w, uv_stream_t *stream,
    void (*drained)(struct brf_writer *w, int status));

/* Call only after the stream's close callback. */
void brf_writer_free(struct brf_writer *w);

/**
 * brf_writer_flush() - pass @out to the kernel; queue what it doesn't accept.
 *
 * Return: 0, or @error when the stream has failed, at this call or earlier.
 */
int brf_writer_flush(struct brf_writer *w);

/* Number of bytes that the kernel has not accepted. */
size_t brf_writer_pending(const struct brf_writer *w);

/**
 * brf_writer_full() - whether the caller should add no more bytes for now.
 *
 * If true, a write is waiting and @drained will be called.  A writer whose
 * stream has failed is not full; the next brf_writer_flush() returns the error.
 */
bool brf_writer_full(struct brf_writer *w);

BRF_END_DECLS

#endif
