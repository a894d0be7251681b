#ifndef BRF_MEMBER_TABLE_H
#define BRF_MEMBER_TABLE_H

#include "member/codec.h"

/**
 * DOC: The members that a node knows, itself included.
 *
 * Found by the low half of the id; rosters hold those that are probed or
 * gossiped to.  The table is cut in parts by the id, each with a digest over
 * the lives and incarnations that are not gone, so that two nodes find out
 * cheaply where they differ.
 */

#define BRF_MEMBERS_MAX 4096u /* gone ones included */

/**
 * enum brf_roster_id - rosters of a table.
 * @BRF_ROSTER_ALL: not gone, this node left out
 * @BRF_ROSTER_OWN_ZONE: those of @BRF_ROSTER_ALL in the own zone
 * @BRF_ROSTER_OTHER_ZONES: those of @BRF_ROSTER_ALL in other zones
 * @BRF_ROSTER_FAILED: declared failed, and remembered to heal
 */
enum brf_roster_id {
	BRF_ROSTER_ALL,
	BRF_ROSTER_OWN_ZONE,
	BRF_ROSTER_OTHER_ZONES,
	BRF_ROSTER_FAILED,
	BRF_ROSTER_COUNT
};

/**
 * struct brf_entry - one member of the table.
 * @member: what users see
 * @version: what orders news of it
 * @docs_count: see struct brf_gossip_docs
 * @until: own time at which a suspicion ends (later while this node's health
 *	is bad), or a gone member is forgotten
 * @last_received: own time of its last datagram
 * @link: in the table's list of suspects, or of gone ones
 * @updates: in a list of news to be passed on
 * @transmits: times that this news was passed on
 * @update_full: it is passed on with all fields
 * @docs_updates: in a list of news on documents
 * @docs_transmits: times that this news was passed on
 * @verify: in the list of members to be pinged out of turn, or of those that
 *	were and have to be heard
 * @verify_claim: others hold it for failed at @verify_incarnation; the ping
 *	tells it
 * @verify_at: own time of the ping
 * @verify_pings_left: further pings before it is suspect
 * @position: one more than its index in each roster; 0 when it is not in it
 */
struct brf_entry {
	struct brf_member member;
	struct brf_gossip_version version;
	uint32_t docs_count;
	uint64_t until;
	uint64_t last_received;
	struct brf_entry *next;
	struct brf_list link;
	struct brf_list updates;
	unsigned transmits;
	bool update_full;
	struct brf_list docs_updates;
	unsigned docs_transmits;
	struct brf_list verify;
	bool verify_claim;
	uint64_t verify_incarnation;
	uint64_t verify_at;
	unsigned verify_pings_left;
	size_t position[BRF_ROSTER_COUNT];
};

/**
 * struct brf_roster - members in random order.
 * @next: whose turn is next
 */
struct brf_roster {
	struct brf_entry **list;
	size_t count;
	size_t cap;
	size_t next;
};

/* A multiple of BRF_GOSSIP_PARTS: a part is every 64th chain. */
#define BRF_TABLE_CHAINS 2048u

struct brf_table {
	struct brf_random *random;
	struct brf_entry *chains[BRF_TABLE_CHAINS];
	struct brf_entry *self;
	struct brf_roster rosters[BRF_ROSTER_COUNT];
	struct brf_list suspects;
	struct brf_list gone;
	uint32_t parts[BRF_GOSSIP_PARTS];
	size_t count;
};

BRF_BEGIN_DECLS

void brf_table_init(struct brf_table *t, struct brf_random *random);
void brf_table_clear(struct brf_table *t);

struct brf_entry *brf_table_find(const struct brf_table *t, uint64_t key);

/**
 * brf_table_add() - a new entry for @member in state @version.
 *
 * Return: owned by @t; NULL when the table is full.
 */
struct brf_entry *brf_table_add(struct brf_table *t,
    const struct brf_member *member, const struct brf_gossip_version *version);

void brf_table_remove(struct brf_table *t, struct brf_entry *e);

/**
 * brf_table_set_version() - give @e a new version; keeps rosters and digests
 * right.
 */
void brf_table_set_version(struct brf_table *t, struct brf_entry *e,
    const struct brf_gossip_version *version);

/* A member not gone at @addr that is not @but; NULL for none. */
struct brf_entry *brf_table_find_address(const struct brf_table *t,
    const struct sockaddr_in *addr, const struct brf_entry *but);

uint64_t brf_table_digest(const struct brf_table *t);

static inline size_t
brf_table_part(uint64_t key)
{
	return (key % BRF_GOSSIP_PARTS);
}

/* Whose turn it is; shuffles after each round.  NULL when empty. */
struct brf_entry *brf_roster_next(struct brf_table *t, enum brf_roster_id id);

/* Any one; NULL when empty. */
struct brf_entry *brf_roster_random(
    const struct brf_table *t, enum brf_roster_id id);

static inline bool
brf_entry_gone(const struct brf_entry *e)
{
	return (e->version.state >= BRF_GOSSIP_FAILED);
}

BRF_END_DECLS

#endif
