#ifndef BRF_CTL_TIMELINE_H
#define BRF_CTL_TIMELINE_H

#include "base/buf.h"

/**
 * DOC: Traces a request through the logs of several nodes.
 *
 * The trace starts with the log lines that name the request.  Where the request
 * was at a gate, the gate gave it a serial, and the calls that it made there
 * were logged with this serial as "parent".  These calls are traced in the same
 * way, recursively.  The cause of a failure is reported at the deepest
 * failed calls only, since the failures above follow from them.
 */

struct brf_timeline;

BRF_BEGIN_DECLS

struct brf_timeline *brf_timeline_new(void);
void brf_timeline_free(struct brf_timeline *t);

/**
 * brf_timeline_read() - add log lines, from any nodes and in any order.
 * @text: lines; text before the JSON, as log collectors add, is skipped, and
 *	so are lines without JSON.  It is not kept.
 * @len: in bytes
 */
void brf_timeline_read(struct brf_timeline *t, const char *text, size_t len);

/**
 * brf_timeline_write() - write the steps of a request in order of time, then
 * the causes of failures.
 * @id: of the request
 *
 * Return: the number of steps; 0 if no line names the request.
 */
size_t brf_timeline_write(
    struct brf_timeline *t, const char *id, struct brf_buf *out);

/**
 * brf_timeline_failed() - write one line for each root request that failed or
 * was late.
 */
void brf_timeline_failed(const struct brf_timeline *t, struct brf_buf *out);

BRF_END_DECLS

#endif
