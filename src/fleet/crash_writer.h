#ifndef BRF_CRASH_WRITER_H
#define BRF_CRASH_WRITER_H

#include "base/metrics.h"
#include "base/random.h"
#include "base/timer.h"
#include "config/store.h"
#include "fleet/crash_record.h"

/**
 * DOC: Writes records of crashes and clearances to the store.
 *
 * Each hangs on a lease of its own, which is not renewed, so that the store
 * drops it after BRF_CRASH_RECORD_TTL_S.  A write is repeated until the store
 * has acknowledged it; a repetition changes nothing.  A record that the store
 * loses before its time, with its lease or by a restore, is written again.
 */

struct brf_crash_writer;

BRF_BEGIN_DECLS

/* All arguments must outlive the writer. */
struct brf_crash_writer *brf_crash_writer_new(struct brf_store *store,
    struct brf_timers *timers, struct brf_random *random);
void brf_crash_writer_free(struct brf_crash_writer *w);

/* Write @value under @key, in place of what this process wrote there. */
void brf_crash_writer_put(
    struct brf_crash_writer *w, const char *key, const struct brf_buf *value);

/* A mirror has seen that the store no longer has @key. */
void brf_crash_writer_deleted(struct brf_crash_writer *w, const char *key);

BRF_END_DECLS

#endif
