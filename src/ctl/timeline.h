#ifndef BRF_CTL_TIMELINE_H
#define BRF_CTL_TIMELINE_H

#include "base/buf.h"

/**
 * DOC: The logs of several nodes joined into the story of one request.
 *
 * Lines that name the request come first.  Where it was at a gate, the calls
 * that it made from there are joined by the serial that the gate gave it, and
 * so on down.  A step's cause is given where nothing that it led to failed.
 */

struct brf_timeline;

BRF_BEGIN_DECLS

struct brf_timeline *brf_timeline_new(void);
void brf_timeline_free(struct brf_timeline *t);

/**
 * brf_timeline_read() - take in lines of logs, from any nodes, in any order.
 * @text: lines; whatever a collector put before the JSON is skipped, and so
 *	are lines that have none
 */
void brf_timeline_read(struct brf_timeline *t, const char *text, size_t len);

/**
 * brf_timeline_write() - steps by time, then the causes.
 * @id: of the request
 *
 * Return: the number of steps; 0 when no line names the request.
 */
size_t brf_timeline_write(
    struct brf_timeline *t, const char *id, struct brf_buf *out);

/**
 * brf_timeline_failed() - ids of requests that callers saw fail, one a line,
 * without those that other requests made.
 */
void brf_timeline_failed(const struct brf_timeline *t, struct brf_buf *out);

BRF_END_DECLS

#endif
