#ifndef BRF_MEMBER_CODEC_H
#define BRF_MEMBER_CODEC_H

#include "base/error.h"
#include "member/members.h"

/**
 * DOC: Datagrams of the membership protocol.
 *
 * A datagram is encoded in XDR (RFC 4506) by libtirpc and followed by a
 * truncated HMAC-SHA256 (RFC 2104) under the fleet key.  It consists of a
 * header, which is an update of the sender, a body that depends on the type,
 * and three lists of piggybacked updates: brief, on documents, and full.
 *
 * Sizes in bytes: header 52, list counts 4, MAC 16; a brief update 16, an
 * update on documents 20, a full update 52 plus its three names.
 */

enum brf_gossip_type {
	BRF_GOSSIP_PING, /* answered by BRF_GOSSIP_ACK with the same number */
	BRF_GOSSIP_ACK,
	BRF_GOSSIP_PING_REQ,	  /* asks a relay to ping @target */
	BRF_GOSSIP_RELAY_STARTED, /* the relay has sent the ping */
	BRF_GOSSIP_INDIRECT_ACK,  /* @subject acked the relay's ping */
	BRF_GOSSIP_UPDATES,	  /* updates without a body */
	BRF_GOSSIP_SYNC, /* digests of the sender's table, see @parts */
	BRF_GOSSIP_TYPE_COUNT
};

/**
 * enum brf_gossip_state - state of a member in an update.
 *
 * At equal incarnations, a higher state from BRF_GOSSIP_SUSPECT on overrides a
 * lower one, see brf_gossip_newer().
 */
enum brf_gossip_state {
	BRF_GOSSIP_STARTING,
	BRF_GOSSIP_READY,
	BRF_GOSSIP_DRAINING,
	BRF_GOSSIP_SUSPECT,
	BRF_GOSSIP_FAILED, /* declared by others; the member can refute */
	BRF_GOSSIP_LEFT,   /* announced by it, or its address was taken over */
	BRF_GOSSIP_STATE_COUNT
};

/**
 * struct brf_gossip_version - the part of an update that orders updates.
 * @incarnation: see struct brf_member; below 2^48
 * @fields: counts changes of service and slots, modulo 256; a brief update
 *	applies only where the fields of this count are known
 * @state: enum brf_gossip_state
 */
struct brf_gossip_version {
	uint64_t incarnation;
	uint8_t fields;
	uint8_t state;
};

/**
 * struct brf_gossip_brief - update of a member without its fields.
 * @key: low half of the member's id
 */
struct brf_gossip_brief {
	uint64_t key;
	struct brf_gossip_version version;
};

/**
 * struct brf_gossip_docs - update of a member's documents.
 * @key: low half of the member's id
 * @count: counts the changes of @digest; orders these updates
 * @digest: see struct brf_member
 */
struct brf_gossip_docs {
	uint64_t key;
	uint32_t count;
	uint64_t digest;
};

/**
 * struct brf_gossip_full - update of a member with all its fields.
 * @member: incarnation, state, docs_digest and last_update are not encoded
 */
struct brf_gossip_full {
	struct brf_member member;
	struct brf_gossip_version version;
};

#define BRF_GOSSIP_PARTS 64u	  /* parts of the table, each with a digest */
#define BRF_GOSSIP_BRIEFS_MAX 64u /* per datagram */
#define BRF_GOSSIP_DOCS_MAX 32u	  /* per datagram */
#define BRF_GOSSIP_FULLS_MAX 24u  /* per datagram */
#define BRF_GOSSIP_MAC 16u	  /* bytes of the truncated HMAC */
#define BRF_GOSSIP_INCARNATION_MAX ((1ull << 48) - 1)

/**
 * struct brf_gossip - a decoded datagram, or one to be encoded.
 * @flags: BRF_GOSSIP_F_...
 * @sender: id of the sending node
 * @version: version of the sender
 * @docs_count: of the sender, see struct brf_gossip_docs
 * @docs_digest: digest of the sender's documents
 * @digest: digest of the sender's table
 * @number: random number of a ping or ping request, copied into the answers
 * @target: address to ping, with BRF_GOSSIP_PING_REQ
 * @subject: key of the node that acked, with BRF_GOSSIP_INDIRECT_ACK
 * @parts: digest of each part of the table, with BRF_GOSSIP_SYNC
 * @size: length of the encoded datagram in bytes, MAC included; kept by
 *	brf_gossip_begin() and the functions that append, not by
 *	brf_gossip_decode()
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
	size_t size;
	struct brf_gossip_brief briefs[BRF_GOSSIP_BRIEFS_MAX];
	struct brf_gossip_docs docs[BRF_GOSSIP_DOCS_MAX];
	struct brf_gossip_full fulls[BRF_GOSSIP_FULLS_MAX];
};

/* Flag: the receiver is to send its full update. */
#define BRF_GOSSIP_F_WANT_FULL 1u
/* Flag: the updates are entries of the sender's table, in answer to a sync. */
#define BRF_GOSSIP_F_SYNC_REPLY 2u

struct brf_gossip_codec;

BRF_BEGIN_DECLS

/**
 * brf_gossip_codec_new() - create an encoder and decoder.
 * @key: key of the MAC, copied; may be NULL when @key_len is 0
 * @key_len: length of @key in bytes
 *
 * Return: a codec to be freed by brf_gossip_codec_free(); never NULL.
 */
struct brf_gossip_codec *brf_gossip_codec_new(
    const unsigned char *key, size_t key_len);
void brf_gossip_codec_free(struct brf_gossip_codec *c);

/**
 * brf_gossip_begin() - initialise @g as a message of @type without updates.
 *
 * All other header and body fields are zero; the caller sets them.
 */
void brf_gossip_begin(struct brf_gossip *g, enum brf_gossip_type type);

/* Append an update; false, with @g unchanged, when the datagram is full. */
bool brf_gossip_add_brief(
    struct brf_gossip *g, const struct brf_gossip_brief *item);
bool brf_gossip_add_docs(
    struct brf_gossip *g, const struct brf_gossip_docs *item);
bool brf_gossip_add_full(struct brf_gossip *g, const struct brf_member *member,
    const struct brf_gossip_version *version);

/**
 * brf_gossip_encode() - encode @g and append the MAC.
 * @out: buffer of at least BRF_DATAGRAM_MAX bytes
 *
 * Return: bytes written; 0 when a field is out of bounds.
 */
size_t brf_gossip_encode(
    struct brf_gossip_codec *c, struct brf_gossip *g, unsigned char *out);

/**
 * brf_gossip_decode() - verify the MAC and decode a datagram.
 * @len: length of @data in bytes
 * @err: may be NULL
 *
 * Return: false with BRF_E_AUTH when the MAC is wrong, or with BRF_E_DATAGRAM
 * when the datagram is malformed; @g is then undefined.
 */
bool brf_gossip_decode(struct brf_gossip_codec *c, const void *data, size_t len,
    struct brf_gossip *g, struct brf_error *err);

/**
 * brf_gossip_newer() - whether @a overrides @b, both versions of one member.
 *
 * The higher incarnation wins.  At equal incarnations the higher of the states
 * BRF_GOSSIP_SUSPECT, BRF_GOSSIP_FAILED and BRF_GOSSIP_LEFT wins over the lower
 * one and over the states that a node announces of itself.
 */
bool brf_gossip_newer(
    const struct brf_gossip_version *a, const struct brf_gossip_version *b);

BRF_END_DECLS

#endif
