#ifndef BRF_ENTRY_H
#define BRF_ENTRY_H

#include <netinet/in.h>

#include "base/buf.h"
#include "base/error.h"
#include "bulrushford.h"

/**
 * DOC: A target's entry in the store, written by the node beside it.
 *
 * JSON under BRF_ENTRY_PREFIX and the target's id.  Entries that can't be read
 * name no target.
 */

#define BRF_ENTRY_PREFIX "bulrushford/targets/"
#define BRF_ENTRY_ID_MAX 63u	   /* bytes of a target's id */
#define BRF_ENTRY_KEY_MAX 128u	   /* bytes of a key and its NUL */
#define BRF_ENTRY_SLOTS_MAX 65535u /* requests that a target runs at once */

/**
 * enum brf_target_state - what a target says of itself.
 * @BRF_TARGET_LEFT: it takes no work any more, or said that it goes
 */
enum brf_target_state {
	BRF_TARGET_READY,
	BRF_TARGET_DRAINING,
	BRF_TARGET_LEFT
};

/**
 * struct brf_entry - a target as the fleet knows it.
 * @id: names one life of a target
 * @gate: where its node takes hops
 * @slots: requests that it runs at once
 * @born: when it started, milliseconds since 1970 by its own clock; orders
 *	lives of one id, 0 when not known
 * @warmup_us: how much longer it was slow when the entry was written
 */
struct brf_entry {
	char id[BRF_ENTRY_ID_MAX + 1];
	char service[BRF_NAME_MAX + 1];
	char zone[BRF_NAME_MAX + 1];
	char region[BRF_NAME_MAX + 1];
	char version[BRF_NAME_MAX + 1];
	char node[BRF_NAME_MAX + 1];
	struct sockaddr_in gate;
	uint32_t slots;
	uint64_t born;
	uint64_t warmup_us;
	enum brf_target_state state;
};

BRF_BEGIN_DECLS

/* Whether @id can be a target's: visible ASCII without a slash. */
bool brf_entry_id_is_valid(const char *id);

void brf_entry_key(const char *id, char out[BRF_ENTRY_KEY_MAX]);

/* Append the entry's text. */
void brf_entry_write(const struct brf_entry *e, struct brf_buf *out);

/**
 * brf_entry_read() - read the entry under @key.
 *
 * Return: false with BRF_E_JSON or BRF_E_ANNOUNCE.
 */
bool brf_entry_read(struct brf_entry *e, const char *key, const char *text,
    size_t len, struct brf_error *err);

/* "ready", "draining" or "left". */
const char *brf_target_state_name(enum brf_target_state state);

BRF_END_DECLS

#endif
