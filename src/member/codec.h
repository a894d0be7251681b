#ifndef BRF_MEMBER_CODEC_H
#define BRF_MEMBER_CODEC_H

#include "base/error.h"
#include "member/members.h"

/**
 * DOC: Datagrams of the membership protocol.
 *
 * XDR (RFC 4506) by libtirpc, behind it a truncated HMAC-SHA256 (RFC 2104)
 * under the fleet key.  A datagram is a header, which is itself news of the
 * sender, a body by type, and three lists of news.
 *
 * Bytes: header 52, MAC 16, list counts 4; a brief item 16, an item on
 * documents 20, a full item 52 and its three names.
 */

enum brf_gossip_type {
	BRF_GOSSIP_PING, /* asks for BRF_GOSSIP_ACK with the same number */
	BRF_GOSSIP_ACK,
	BRF_GOSSIP_PING_REQ,	  /* asks a relay to ping @target */
	BRF_GOSSIP_RELAY_STARTED, /* the relay hears, and has sent the ping */
	BRF_GOSSIP_INDIRECT_ACK,  /* @subject answered the relay */
	BRF_GOSSIP_UPDATES,	  /* nothing but news */
	BRF_GOSSIP_SYNC, /* digests of the sender's table, see @parts */
	BRF_GOSSIP_TYPE_COUNT
};

/**
 * enum brf_gossip_state - what news says of a member; at one incarnation the
 * higher one holds.
 */
enum brf_gossip_state {
	BRF_GOSSIP_STARTING,
	BRF_GOSSIP_READY,
	BRF_GOSSIP_DRAINING,
	BRF_GOSSIP_SUSPECT,
	BRF_GOSSIP_FAILED, /* concluded by others; its word can revive it */
	BRF_GOSSIP_LEFT,   /* its own word, or its address has a new life */
	BRF_GOSSIP_STATE_COUNT
};

/**
 * struct brf_gossip_version - the part of news that orders it.
 * @incarnation: see struct brf_member; below 2^48
 * @fields: counts changes of service and slots; brief news is only of use
 *	to who knows these fields
 * @state: enum brf_gossip_state
 */
struct brf_gossip_version {
	uint64_t incarnation;
	uint8_t fields;
	uint8_t state;
};

/**
 * struct brf_gossip_brief - news of a member whose fields are known.
 * @key: low half of its id
 */
struct brf_gossip_brief {
	uint64_t key;
	struct brf_gossip_version version;
};

/**
 * struct brf_gossip_docs - news of a member's documents.
 * @count: counts the changes of @digest
 */
struct brf_gossip_docs {
	uint64_t key;
	uint32_t count;
	uint64_t digest;
};

/**
 * struct brf_gossip_full - news of a member with all its fields.
 * @member: its state, digest and heard are not carried
 */
struct brf_gossip_full {
	struct brf_member member;
	struct brf_gossip_version version;
};

#define BRF_GOSSIP_PARTS 64u	  /* parts of the table in a sync */
#define BRF_GOSSIP_BRIEFS_MAX 64u /* items of one datagram */
#define BRF_GOSSIP_DOCS_MAX 32u	  /* items of one datagram */
#define BRF_GOSSIP_FULLS_MAX 24u  /* items of one datagram */
#define BRF_GOSSIP_MAC 16u	  /* bytes of the HMAC that are sent */
#define BRF_GOSSIP_INCARNATION_MAX ((1ull << 48) - 1)

/**
 * struct brf_gossip - a decoded datagram.
 * @sender: id of the sending life
 * @version: the sender's own
 * @docs_count: see struct brf_gossip_docs
 * @docs_digest: of the sender's documents
 * @digest: over the sender's table
 * @number: ties an answer to its question
 * @flags: BRF_GOSSIP_F_...
 * @target: with BRF_GOSSIP_PING_REQ
 * @subject: key of who answered, with BRF_GOSSIP_INDIRECT_ACK
 * @parts: digest of each part of the table, with BRF_GOSSIP_SYNC
 */
struct brf_gossip {
	enum brf_gossip_type type;
	uint8_t flags;
	struct brf_id sender;
	struct brf_gossip_version version;
	uint32_t docs_count;
	uint64_t docs_digest;
	uint64_t digest;
	uint32_t number;
	struct sockaddr_in target;
	uint64_t subject;
	uint32_t parts[BRF_GOSSIP_PARTS];
	uint32_t brief_count;
	uint32_t docs_items;
	uint32_t full_count;
	size_t size; /* bytes that the encoded datagram takes */
	struct brf_gossip_brief briefs[BRF_GOSSIP_BRIEFS_MAX];
	struct brf_gossip_docs docs[BRF_GOSSIP_DOCS_MAX];
	struct brf_gossip_full fulls[BRF_GOSSIP_FULLS_MAX];
};

#define BRF_GOSSIP_F_WANT_FULL 1u /* the sender lacks the receiver's fields */
#define BRF_GOSSIP_F_SYNC_REPLY \
	2u /* news out of a table, in answer to a sync */

struct brf_gossip_codec;

BRF_BEGIN_DECLS

/**
 * brf_gossip_codec_new() - @key is copied.
 */
struct brf_gossip_codec *brf_gossip_codec_new(
    const unsigned char *key, size_t key_len);
void brf_gossip_codec_free(struct brf_gossip_codec *c);

/**
 * brf_gossip_begin() - an empty message of @type; the caller fills the rest.
 */
void brf_gossip_begin(struct brf_gossip *g, enum brf_gossip_type type);

/* Append an item; false, and nothing done, when it does not fit. */
bool brf_gossip_add_brief(
    struct brf_gossip *g, const struct brf_gossip_brief *item);
bool brf_gossip_add_docs(
    struct brf_gossip *g, const struct brf_gossip_docs *item);
bool brf_gossip_add_full(struct brf_gossip *g, const struct brf_member *member,
    const struct brf_gossip_version *version);

/**
 * brf_gossip_encode() - write @g and its MAC.
 * @out: room for BRF_DATAGRAM_MAX bytes
 *
 * Return: bytes written; 0 when a field is out of its bounds.
 */
size_t brf_gossip_encode(
    struct brf_gossip_codec *c, struct brf_gossip *g, unsigned char *out);

/**
 * brf_gossip_decode() - check the MAC, then read.
 *
 * Return: false with BRF_E_AUTH or BRF_E_DATAGRAM; @g is then undefined.
 */
bool brf_gossip_decode(struct brf_gossip_codec *c, const void *data, size_t len,
    struct brf_gossip *g, struct brf_error *err);

/* Whether @a is newer than @b, both of one life. */
bool brf_gossip_newer(
    const struct brf_gossip_version *a, const struct brf_gossip_version *b);

BRF_END_DECLS

#endif
