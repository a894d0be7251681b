#include <stdlib.h>

#include "policy/ledger.h"

/* Entries looked at for expiry with each call, and when there is no room. */
#define SWEEP_RECORDS 4u
#define SWEEP_RECORDS_FULL 256u

enum record_state {
	RECORD_FREE,
	RECORD_RUNNING,
	RECORD_REFUSED,
	RECORD_DONE
};

/**
 * struct record - an attempt or a token.
 * @chain: in its table, by id; in the list of free ones while free
 * @expires: clock time until which it is kept once it does not run
 * @retention_us: of an attempt: how long it is kept from then on
 * @token: of an attempt: id of its token; zero for none
 * @never_arrived: of an attempt: its cancel came, itself did not
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
 * struct brf_ledger - both tables.
 * @refused_expiry: end of the latest token refused without an entry; no token
 *	that is unknown and ends by then may run any more
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

/* NULL when no entry is free; the caller sets what is not zero. */
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

/* What is said of a request that was here before. */
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

/* Whether @request's token, which is not NULL, lets it go on. */
static bool
add_token(struct brf_ledger *l, const struct brf_ledger_request *request,
    uint64_t now, struct brf_reply *reply)
{
	const struct brf_token *token = request->token;
	struct record *r = table_find(&l->tokens, token->id);

	/* Judged here once more: an entry that is over may be gone. */
	if (token->expires <= now) {
		set_reply(reply, BRF_UNKNOWN, BRF_R_TOKEN_EXPIRED);
		return (false);
	}
	if (r != NULL && r->checksum != request->checksum) {
		set_reply(reply, BRF_UNKNOWN, BRF_R_TOKEN);
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
settle_token(struct brf_ledger *l, const struct record *attempt,
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
	uint64_t most = BRF_TIMEOUT_MAX_MS * BRF_US_PER_MS;

	return ((timeout_us < most ? timeout_us : most) + BRF_LEDGER_GRACE_US);
}

/*
 * Without an entry a second copy of the attempt would not be known: only a
 * token, which has one, lets the node say that it never runs.
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
		settle_token(l, r, RECORD_REFUSED, r->reason);
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
		settle_token(l, r, RECORD_REFUSED, reason);
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
	settle_token(l, r, RECORD_DONE, BRF_R_NONE);
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
		set_reply(reply, BRF_NOT_RUN, BRF_R_TOKEN);
		break;
	case BRF_TOKEN_RESTARTED:
		set_reply(reply, BRF_UNKNOWN, BRF_R_GATE_RESTARTED);
		break;
	case BRF_TOKEN_EXPIRED:
		set_reply(reply, BRF_UNKNOWN, BRF_R_TOKEN_EXPIRED);
		break;
	default:
		set_reply(reply, BRF_UNKNOWN, BRF_R_TOKEN);
		break;
	}
}
