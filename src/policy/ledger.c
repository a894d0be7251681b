#include <stdlib.h>

#include "policy/ledger.h"

/* Entries checked for expiry when one is added, and when none is free. */
#define SWEEP_RECORDS 4u
#define SWEEP_RECORDS_FULL 256u

enum record_state {
	RECORD_FREE,
	RECORD_RUNNING,
	RECORD_REFUSED,
	RECORD_DONE
};

/**
 * struct record - entry for an attempt or a token.
 * @chain: link in the hash chain of its id, or in the list of unused records
 * @reason: why it was refused, with RECORD_REFUSED
 * @never_arrived: attempts only: recorded because of its cancel
 * @expires: clock time until which the record is kept when it is not running
 * @retention_us: attempts only: time from its end to @expires
 * @checksum: tokens only: checksum of the request
 * @token: attempts only: id of its token; zero for none
 * @answer: tokens only: kept answer, a reference; NULL for none
 */
struct record {
	struct brf_list chain;
	struct brf_id id;
	enum record_state state;
	enum brf_reason reason;
	bool never_arrived;
	uint64_t expires;
	uint64_t retention_us;
	uint64_t checksum;
	struct brf_id token;
	struct brf_message *answer;
};

/**
 * struct table - hash table of records.
 * @records: all @cap records
 * @chains: hash chains; @mask is their number minus 1
 * @unused: records that are not in a chain
 * @live: records that are in a chain
 * @sweep_next: index of the next record to check for expiry
 */
struct table {
	struct record *records;
	struct brf_list *chains;
	struct brf_list unused;
	uint64_t mask;
	uint32_t cap;
	uint32_t live;
	uint32_t sweep_next;
};

/**
 * struct brf_ledger - the tables of attempts and tokens.
 * @refused_expiry: expiry of the latest token refused without an entry; an
 *	unknown token that expires by then must not run any more
 * @answer_bytes, @refused_full, @duplicates: see struct brf_ledger_stats
 */
struct brf_ledger {
	struct brf_clock *clock;
	struct brf_ledger_config config;
	struct table attempts;
	struct table tokens;
	uint64_t refused_expiry;
	size_t answer_bytes;
	uint64_t refused_full;
	uint64_t duplicates;
};

static void
table_init(struct table *t, uint32_t cap)
{
	uint64_t i, chains = 16;

	while (chains < cap)
		chains *= 2;
	t->cap = cap;
	t->mask = chains - 1;
	t->records = brf_calloc(cap, sizeof(*t->records));
	t->chains = brf_calloc(chains, sizeof(*t->chains));
	brf_list_init(&t->unused);
	for (i = 0; i < chains; i++)
		brf_list_init(&t->chains[i]);
	for (i = 0; i < cap; i++)
		brf_list_append(&t->unused, &t->records[i].chain);
}

static void
table_free(struct table *t)
{
	uint32_t i;

	for (i = 0; i < t->cap; i++)
		brf_message_unref(t->records[i].answer);
	free(t->records);
	free(t->chains);
}

static struct record *
table_find(const struct table *t, struct brf_id id)
{
	struct brf_list *l, *head = &t->chains[id.lo & t->mask];
	struct record *r;

	brf_list_foreach (l, head) {
		r = brf_list_entry(l, struct record, chain);
		if (brf_id_equal(r->id, id))
			return (r);
	}
	return (NULL);
}

static size_t
answer_size(const struct brf_message *m)
{
	return (m->body.len + m->header_bytes);
}

static void
remove_record(struct brf_ledger *l, struct table *t, struct record *r)
{
	if (r->answer != NULL)
		l->answer_bytes -= answer_size(r->answer);
	brf_message_unref(r->answer);
	brf_list_remove(&r->chain);
	*r = (struct record){ .state = RECORD_FREE };
	brf_list_append(&t->unused, &r->chain);
	t->live--;
}

static bool
is_expired(const struct record *r, uint64_t now)
{
	return ((r->state == RECORD_REFUSED || r->state == RECORD_DONE) &&
		r->expires <= now);
}

static void
sweep(struct brf_ledger *l, struct table *t, uint32_t n, uint64_t now)
{
	struct record *r;

	if (n > t->cap)
		n = t->cap;
	while (n-- > 0) {
		r = &t->records[t->sweep_next];
		t->sweep_next =
		    t->sweep_next + 1 < t->cap ? t->sweep_next + 1 : 0;
		if (is_expired(r, now))
			remove_record(l, t, r);
	}
}

/* Returns a record in the state RECORD_RUNNING that is zero but for its id;
 * NULL when the table is full. */
static struct record *
table_add(struct brf_ledger *l, struct table *t, struct brf_id id, uint64_t now)
{
	struct record *r;

	sweep(l, t,
	    brf_list_empty(&t->unused) ? SWEEP_RECORDS_FULL : SWEEP_RECORDS,
	    now);
	if (brf_list_empty(&t->unused))
		return (NULL);
	r = brf_list_entry(t->unused.next, struct record, chain);
	brf_list_remove(&r->chain);
	r->id = id;
	r->state = RECORD_RUNNING;
	brf_list_append(&t->chains[id.lo & t->mask], &r->chain);
	t->live++;
	return (r);
}

struct brf_ledger *
brf_ledger_new(struct brf_clock *clock, const struct brf_ledger_config *config)
{
	struct brf_ledger *l = brf_calloc(1, sizeof(*l));

	l->clock = clock;
	l->config = *config;
	table_init(&l->attempts, config->attempts);
	table_init(&l->tokens, config->tokens);
	return (l);
}

void
brf_ledger_free(struct brf_ledger *l)
{
	if (l == NULL)
		return;
	table_free(&l->attempts);
	table_free(&l->tokens);
	free(l);
}

static void
set_reply(
    struct brf_reply *reply, enum brf_outcome outcome, enum brf_reason reason)
{
	*reply = (struct brf_reply){ .outcome = outcome, .reason = reason };
}

/* Fill the reply to a request that has the entry @r already. */
static void
reply_to_duplicate(
    struct brf_ledger *l, const struct record *r, struct brf_reply *reply)
{
	l->duplicates++;
	if (r->state == RECORD_REFUSED) {
		set_reply(reply, BRF_NOT_RUN, r->reason);
		return;
	}
	set_reply(reply, BRF_UNKNOWN, BRF_R_DUPLICATE);
	if (r->answer == NULL)
		return;
	set_reply(reply, BRF_ANSWERED, BRF_R_NONE);
	reply->answer = r->answer;
}

/* Add the token of @request.  Returns false and fills @reply if the request
 * must not run. */
static bool
add_token(struct brf_ledger *l, const struct brf_ledger_request *request,
    uint64_t now, struct brf_reply *reply)
{
	const struct brf_token *token = request->token;
	struct record *r = table_find(&l->tokens, token->id);

	/* Check again: the entry of an expired token may be removed already. */
	if (token->expires <= now) {
		set_reply(reply, BRF_UNKNOWN, BRF_R_TOKEN_EXPIRED);
		return (false);
	}
	if (r != NULL && r->checksum != request->checksum) {
		set_reply(reply, BRF_UNKNOWN, BRF_R_TOKEN_INVALID);
		return (false);
	}
	if (r != NULL) {
		reply_to_duplicate(l, r, reply);
		return (false);
	}
	if (token->expires <= l->refused_expiry) {
		set_reply(reply, BRF_NOT_RUN, BRF_R_TOKEN_EXPIRED);
		return (false);
	}
	r = table_add(l, &l->tokens, token->id, now);
	if (r == NULL) {
		l->refused_full++;
		l->refused_expiry = token->expires;
		set_reply(reply, BRF_NOT_RUN, BRF_R_OVERLOAD);
		return (false);
	}
	r->expires = token->expires;
	r->checksum = request->checksum;
	return (true);
}

static void
end_token(struct brf_ledger *l, const struct record *attempt,
    enum record_state state, enum brf_reason reason)
{
	struct record *r;

	if (brf_id_is_zero(attempt->token))
		return;
	r = table_find(&l->tokens, attempt->token);
	if (r == NULL || r->state != RECORD_RUNNING)
		return;
	r->state = state;
	r->reason = reason;
}

static uint64_t
retention_for(uint64_t timeout_us)
{
	uint64_t max = BRF_TIMEOUT_MAX_MS * BRF_US_PER_MS;

	return ((timeout_us < max ? timeout_us : max) + BRF_LEDGER_GRACE_US);
}

/*
 * Refuse an attempt for which no entry is free.  A second copy of it would not
 * be recognized, so BRF_NOT_RUN may be reported only when it has a token, whose
 * entry is then refused.
 */
static void
refuse_for_capacity(struct brf_ledger *l,
    const struct brf_ledger_request *request, struct brf_reply *reply)
{
	struct record *r;

	l->refused_full++;
	if (request->token == NULL) {
		set_reply(reply, BRF_UNKNOWN, BRF_R_OVERLOAD);
		return;
	}
	r = table_find(&l->tokens, request->token->id);
	r->state = RECORD_REFUSED;
	r->reason = BRF_R_OVERLOAD;
	set_reply(reply, BRF_NOT_RUN, BRF_R_OVERLOAD);
}

bool
brf_ledger_begin(struct brf_ledger *l, const struct brf_ledger_request *request,
    struct brf_reply *reply)
{
	uint64_t now = brf_now(l->clock);
	struct record *r = table_find(&l->attempts, request->attempt);

	if (r != NULL &&
	    (request->token == NULL || r->state != RECORD_REFUSED)) {
		reply_to_duplicate(l, r, reply);
		return (false);
	}
	if (request->token != NULL && !add_token(l, request, now, reply))
		return (false);
	if (r != NULL) {
		r->token = request->token->id;
		end_token(l, r, RECORD_REFUSED, r->reason);
		reply_to_duplicate(l, r, reply);
		return (false);
	}
	r = table_add(l, &l->attempts, request->attempt, now);
	if (r == NULL) {
		refuse_for_capacity(l, request, reply);
		return (false);
	}
	r->retention_us = retention_for(request->timeout_us);
	if (request->token != NULL)
		r->token = request->token->id;
	return (true);
}

bool
brf_ledger_refuse(
    struct brf_ledger *l, struct brf_id attempt, enum brf_reason reason)
{
	uint64_t now = brf_now(l->clock);
	struct record *r = table_find(&l->attempts, attempt);

	if (r == NULL) {
		r = table_add(l, &l->attempts, attempt, now);
		if (r == NULL)
			return (false);
		r->retention_us = retention_for(UINT64_MAX);
		r->never_arrived = true;
	}
	if (r->state == RECORD_RUNNING) {
		r->state = RECORD_REFUSED;
		r->reason = reason;
		r->expires = now + r->retention_us;
		end_token(l, r, RECORD_REFUSED, reason);
	}
	return (r->state == RECORD_REFUSED && !r->never_arrived);
}

static void
keep_answer(struct brf_ledger *l, struct brf_id token, struct brf_message *m)
{
	struct record *r = table_find(&l->tokens, token);
	size_t size = answer_size(m);

	if (r == NULL || r->answer != NULL || size > BRF_LEDGER_ANSWER_MAX ||
	    l->answer_bytes + size > l->config.answer_bytes)
		return;
	r->answer = brf_message_ref(m);
	l->answer_bytes += size;
}

void
brf_ledger_done(
    struct brf_ledger *l, struct brf_id attempt, struct brf_message *answer)
{
	struct record *r = table_find(&l->attempts, attempt);

	if (r == NULL || r->state != RECORD_RUNNING)
		return;
	r->state = RECORD_DONE;
	r->expires = brf_now(l->clock) + r->retention_us;
	end_token(l, r, RECORD_DONE, BRF_R_NONE);
	if (answer != NULL && !brf_id_is_zero(r->token))
		keep_answer(l, r->token, answer);
}

void
brf_ledger_stats(const struct brf_ledger *l, struct brf_ledger_stats *s)
{
	*s = (struct brf_ledger_stats){
		.attempts = l->attempts.live,
		.tokens = l->tokens.live,
		.answer_bytes = l->answer_bytes,
		.refused_full = l->refused_full,
		.duplicates = l->duplicates,
	};
}

void
brf_token_refusal(enum brf_token_verdict verdict, struct brf_reply *reply)
{
	switch (verdict) {
	case BRF_TOKEN_MALFORMED:
		set_reply(reply, BRF_NOT_RUN, BRF_R_TOKEN_INVALID);
		break;
	case BRF_TOKEN_RESTARTED:
		set_reply(reply, BRF_UNKNOWN, BRF_R_GATE_RESTARTED);
		break;
	case BRF_TOKEN_EXPIRED:
		set_reply(reply, BRF_UNKNOWN, BRF_R_TOKEN_EXPIRED);
		break;
	default:
		set_reply(reply, BRF_UNKNOWN, BRF_R_TOKEN_INVALID);
		break;
	}
}
