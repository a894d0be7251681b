#ifndef BRF_ENTRY_H
#define BRF_ENTRY_H

#include <netinet/in.h>

#include "base/buf.h"
#include "base/error.h"
#include "bulrushford.h"

/**
 * DOC: A target's entry in the store, written by the node beside it.
 *
 * A JSON object under the key BRF_ENTRY_PREFIX followed by the target's id.
 * Readers ignore entries that they can't parse.
 */

#define BRF_ENTRY_PREFIX "bulrushford/targets/"
#define BRF_ENTRY_ID_MAX 63u	   /* bytes of a target's id */
#define BRF_ENTRY_KEY_MAX 128u	   /* bytes of a key and its NUL */
#define BRF_ENTRY_SLOTS_MAX 65535u /* see struct brf_entry */

/**
 * enum brf_target_state - state of a target, as announced by itself.
 * @BRF_TARGET_READY: takes new requests
 * @BRF_TARGET_DRAINING: finishes its requests and takes no new ones
 * @BRF_TARGET_LEFT: takes no requests any more, or announced that it stops
 */
enum brf_target_state {
	BRF_TARGET_READY,
	BRF_TARGET_DRAINING,
	BRF_TARGET_LEFT
};

/**
 * struct brf_entry - a target as registered in the store.
 * @id: of one incarnation of a target
 * @version: of the target's software
 * @node: name of the node beside the target
 * @gate: address and port at which that node accepts hops
 * @slots: requests that the target runs at once
 * @born: start time of the target, milliseconds since 1970 by its own clock;
 *	orders incarnations with the same id; 0 when not known
 * @epoch: of the store when the entry was written; 0 when not known
 * @warmup_us: rest of the warm-up, during which the target is slow, when the
 *	entry was written; microseconds
 * @announced: state that the target itself has announced; an incarnation only
 *	moves forward in it.  @state may be later, while the node stops.
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
	uint64_t epoch;
	uint64_t warmup_us;
	enum brf_target_state state;
	enum brf_target_state announced;
};

BRF_BEGIN_DECLS

/**
 * brf_entry_supersedes() - whether @e has a later announcement of @other's
 * incarnation, or of a later one, so that @other is out of date.
 */
bool brf_entry_supersedes(
    const struct brf_entry *e, const struct brf_entry *other);

/* Whether @id is a valid target id: 1 to BRF_ENTRY_ID_MAX bytes of visible
 * ASCII without a slash. */
bool brf_entry_id_is_valid(const char *id);

/* Write the key of the entry of target @id. */
void brf_entry_key(const char *id, char out[BRF_ENTRY_KEY_MAX]);

/* Append the entry as JSON. */
void brf_entry_write(const struct brf_entry *e, struct brf_buf *out);

/**
 * brf_entry_read() - parse the entry stored under @key.
 * @text: its value, @len bytes
 *
 * Return: false and @err on failure: BRF_E_JSON when the value is not JSON,
 * BRF_E_ANNOUNCE when the key or a field is invalid.
 */
bool brf_entry_read(struct brf_entry *e, const char *key, const char *text,
    size_t len, struct brf_error *err);

/* "ready", "draining" or "left". */
const char *brf_target_state_name(enum brf_target_state state);

BRF_END_DECLS

#endif
