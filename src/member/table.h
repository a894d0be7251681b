#ifndef BRF_MEMBER_TABLE_H
#define BRF_MEMBER_TABLE_H

#include "member/codec.h"

/**
 * DOC: The members that a node knows, itself included.
 *
 * Entries are found by their key, the low half of the id.  Rosters list the
 * members that are probed or gossiped to.  The table is divided by key into
 * parts, each with a digest over the ids and incarnations of the members that
 * are not gone, so that two nodes find out cheaply where their tables differ.
 */

#define BRF_MEMBERS_MAX 4096u /* entries, gone members included */

/**
 * enum brf_roster_id - rosters of a table.
 * @BRF_ROSTER_ALL: members that are not gone, except this node
 * @BRF_ROSTER_OWN_ZONE: members of @BRF_ROSTER_ALL in this node's zone
 * @BRF_ROSTER_OTHER_ZONES: members of @BRF_ROSTER_ALL in other zones
 * @BRF_ROSTER_FAILED: members declared failed, pinged until they answer or
 *	are forgotten
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
 * @member: the part that brf_members_each() and watchers see
 * @version: version of the last update applied
 * @docs_count: see struct brf_gossip_docs
 * @until: protocol time at which a suspicion ends (later while this node's
 *	local health is bad) or a gone member is forgotten
 * @last_received: protocol time of the last datagram from this member
 * @next: next entry of the hash chain
 * @link: in the table's list of suspects or of gone members
 * @updates: in a list of brf_members.updates
 * @transmits: times that the current update was sent
 * @update_full: the update is sent with all fields
 * @docs_updates: in a list of brf_members.docs_updates
 * @docs_transmits: times that the current update on documents was sent
 * @verify: in brf_members.verify, to be pinged out of turn, or in
 *	brf_members.checks, pinged and awaiting a datagram
 * @verify_claim: another node's table differs on whether it has failed at
 *	@verify_incarnation; the ping carries the claim that it has, so that
 *	the member can refute it
 * @verify_incarnation: its incarnation when it was queued for verification
 * @verify_at: protocol time of the ping
 * @verify_pings_left: further pings before it becomes suspect
 * @position: its index in each roster plus one; 0 when not in the roster
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
 * @list: entries, owned by the table
 * @count: entries in use
 * @cap: entries allocated
 * @next: index that brf_roster_next() returns next
 */
struct brf_roster {
	struct brf_entry **list;
	size_t count;
	size_t cap;
	size_t next;
};

/* A multiple of BRF_GOSSIP_PARTS, so that a part is every 64th chain. */
#define BRF_TABLE_CHAINS 2048u

/**
 * struct brf_table - the members known, in a chained hash table.
 * @chains: hash chains by key
 * @self: entry of this node, the first one added
 * @suspects: entries in BRF_GOSSIP_SUSPECT
 * @gone: gone entries, the longest gone first
 * @parts: digest of each part, see brf_table_part()
 * @count: number of entries
 */
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

/* Frees all entries. */
void brf_table_clear(struct brf_table *t);

/* NULL when not known. */
struct brf_entry *brf_table_find(const struct brf_table *t, uint64_t key);

/**
 * brf_table_add() - add an entry for @member at @version.
 *
 * The first entry is this node's own.
 *
 * Return: an entry owned by @t; NULL when the table is full.
 */
struct brf_entry *brf_table_add(struct brf_table *t,
    const struct brf_member *member, const struct brf_gossip_version *version);

/* Removes @e from the table and from all lists, and frees it. */
void brf_table_remove(struct brf_table *t, struct brf_entry *e);

/**
 * brf_table_set_version() - set the version of @e; updates its incarnation and
 * state, the rosters, the lists and the digest of its part.
 */
void brf_table_set_version(struct brf_table *t, struct brf_entry *e,
    const struct brf_gossip_version *version);

/* The member at @addr that is not gone, this node and @but excepted; NULL for
 * none. */
struct brf_entry *brf_table_find_address(const struct brf_table *t,
    const struct sockaddr_in *addr, const struct brf_entry *but);

/* Digest over the digests of all parts. */
uint64_t brf_table_digest(const struct brf_table *t);

/* Part that holds @key. */
static inline size_t
brf_table_part(uint64_t key)
{
	return (key % BRF_GOSSIP_PARTS);
}

/* Next entry by round robin, shuffled after each round; NULL when empty. */
struct brf_entry *brf_roster_next(struct brf_table *t, enum brf_roster_id id);

/* A random entry; NULL when empty. */
struct brf_entry *brf_roster_random(
    const struct brf_table *t, enum brf_roster_id id);

static inline bool
brf_entry_gone(const struct brf_entry *e)
{
	return (e->version.state >= BRF_GOSSIP_FAILED);
}

BRF_END_DECLS

#endif
