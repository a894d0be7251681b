#include <stdlib.h>

#include <xxhash.h>

#include "bulrushford.h"
#include "policy/crash_log.h"

#define BUCKETS 256u
#define ANSWERED_SETS 512u
#define ANSWERED_WAYS 4u

/**
 * struct answered - a request that a target has lived through.
 * @hash: of its key; 0 for none
 * @at: clock time
 */
struct answered {
	uint64_t hash;
	uint64_t at;
};

/**
 * struct caller - what is remembered of the requests of one caller.
 * @suspects: lists of struct brf_crash_suspect by key, @count in all
 * @answered: requests that a target has lived through, in sets of which the
 *	newest is the first; NULL before the first
 */
struct caller {
	struct brf_list link;
	char name[BRF_NAME_MAX + 1];
	struct brf_list suspects[BUCKETS];
	size_t count;
	struct answered (*answered)[ANSWERED_WAYS];
};

/**
 * struct brf_crash_log - see crash_log.h.
 * @callers: list of struct caller, @count of them
 * @trial_delay_us: see brf_crash_log_new()
 * @changes: of all suspects, so that their weights are computed again
 */
struct brf_crash_log {
	struct brf_list callers;
	size_t count;
	uint64_t trial_delay_us;
	uint64_t changes;
};

struct brf_crash_log *
brf_crash_log_new(uint64_t trial_delay_us)
{
	struct brf_crash_log *log = brf_calloc(1, sizeof(*log));

	log->trial_delay_us = trial_delay_us;
	brf_list_init(&log->callers);
	return (log);
}

static void
remove_suspect(struct caller *c, struct brf_crash_suspect *s)
{
	brf_list_remove(&s->link);
	c->count--;
	free(s);
}

static void
caller_free(struct caller *c)
{
	struct brf_list *l;
	size_t i;

	for (i = 0; i < BUCKETS; i++) {
		while ((l = brf_list_pop(&c->suspects[i])) != NULL)
			free(brf_list_entry(l, struct brf_crash_suspect, link));
	}
	free(c->answered);
	free(c);
}

void
brf_crash_log_free(struct brf_crash_log *log)
{
	struct brf_list *l;

	while ((l = brf_list_pop(&log->callers)) != NULL)
		caller_free(brf_list_entry(l, struct caller, link));
	free(log);
}

/* Return: NULL when nothing is remembered of the caller. */
static struct caller *
find_caller(const struct brf_crash_log *log, const char *name)
{
	struct caller *c = NULL;
	struct brf_list *l;

	brf_list_foreach (l, &log->callers) {
		c = brf_list_entry(l, struct caller, link);
		if (strcmp(c->name, name) == 0)
			return (c);
	}
	return (log->count < BRF_CRASH_CALLERS_MAX ? NULL : c);
}

static struct caller *
get_caller(struct brf_crash_log *log, const char *name)
{
	struct caller *c = find_caller(log, name);
	size_t i;

	if (c != NULL)
		return (c);
	c = brf_calloc(1, sizeof(*c));
	brf_copy_name(c->name, sizeof(c->name), name);
	for (i = 0; i < BUCKETS; i++)
		brf_list_init(&c->suspects[i]);
	brf_list_append(&log->callers, &c->link);
	log->count++;
	return (c);
}

static uint64_t
mix(const struct brf_request_key *key)
{
	return (key->head ^ key->body * 0x9e3779b97f4a7c15u);
}

static struct brf_crash_suspect *
find_suspect(const struct caller *c, const struct brf_request_key *key)
{
	const struct brf_list *bucket;
	struct brf_crash_suspect *s;
	struct brf_list *l;

	if (c == NULL || c->count == 0)
		return (NULL);
	bucket = &c->suspects[key->head % BUCKETS];
	brf_list_foreach (l, bucket) {
		s = brf_list_entry(l, struct brf_crash_suspect, link);
		if (brf_request_key_equal(&s->key, key))
			return (s);
	}
	return (NULL);
}

uint64_t
brf_crash_incarnation(const char *id, uint64_t born)
{
	return (XXH3_64bits_withSeed(id, strlen(id), born));
}

/* Return: clock time; 0 when it is not remembered. */
static uint64_t
answered_at(const struct caller *c, const struct brf_request_key *key)
{
	uint64_t hash = mix(key);
	const struct answered *set;
	size_t i;

	if (c == NULL || c->answered == NULL)
		return (0);
	set = c->answered[hash % ANSWERED_SETS];
	for (i = 0; i < ANSWERED_WAYS; i++) {
		if (set[i].hash == hash)
			return (set[i].at);
	}
	return (0);
}

static void
remember_answered(
    struct caller *c, const struct brf_request_key *key, uint64_t now)
{
	uint64_t hash = mix(key);
	struct answered *set;
	size_t i = 0;

	if (c->answered == NULL)
		c->answered = brf_calloc(ANSWERED_SETS, sizeof(*c->answered));
	set = c->answered[hash % ANSWERED_SETS];
	while (i < ANSWERED_WAYS - 1 && set[i].hash != hash)
		i++;
	memmove(set + 1, set, i * sizeof(*set));
	set[0] = (struct answered){ .hash = hash, .at = now };
}

/* Whether @s should be forgotten before @other. */
static bool
matters_less(
    const struct brf_crash_suspect *s, const struct brf_crash_suspect *other)
{
	if (s->count != other->count)
		return (s->count < other->count);
	return (s->last_at < other->last_at);
}

/* Return: false when all suspects matter more than one with a single crash. */
static bool
make_room(struct caller *c)
{
	struct brf_crash_suspect *s, *least = NULL;
	struct brf_list *l;
	size_t i;

	if (c->count < BRF_CRASH_SUSPECTS_MAX)
		return (true);
	for (i = 0; i < BUCKETS; i++) {
		brf_list_foreach (l, &c->suspects[i]) {
			s = brf_list_entry(l, struct brf_crash_suspect, link);
			if (least == NULL || matters_less(s, least))
				least = s;
		}
	}
	if (least->count > 1)
		return (false);
	remove_suspect(c, least);
	return (true);
}

static struct brf_crash_suspect *
add_suspect(struct caller *c, const struct brf_request_key *key)
{
	struct brf_crash_suspect *s;

	if (!make_room(c))
		return (NULL);
	s = brf_calloc(1, sizeof(*s));
	s->key = *key;
	s->answered_at = answered_at(c, key);
	brf_list_append(&c->suspects[key->head % BUCKETS], &s->link);
	c->count++;
	return (s);
}

static struct brf_crash_of *
find_crash(struct brf_crash_suspect *s, uint64_t incarnation)
{
	size_t i;

	for (i = 0; i < s->total; i++) {
		if (s->crashes[i].incarnation == incarnation)
			return (&s->crashes[i]);
	}
	return (NULL);
}

static bool
counts(const struct brf_crash_suspect *s, const struct brf_crash_of *crash)
{
	return (!crash->cleared &&
		(s->answered_at == 0 ||
		    crash->at > s->answered_at + BRF_CRASH_ANSWERED_US));
}

static void
count_crashes(struct brf_crash_suspect *s)
{
	size_t i;

	s->count = 0;
	for (i = 0; i < s->total; i++)
		s->count += counts(s, &s->crashes[i]);
}

/* Add a crash, in the place of the oldest when there are too many. */
static void
add_crash(struct brf_crash_suspect *s, uint64_t incarnation, bool cleared,
    uint64_t at)
{
	if (s->total == BRF_CRASH_INCARNATIONS_MAX)
		memmove(s->crashes, s->crashes + 1,
		    --s->total * sizeof(*s->crashes));
	s->crashes[s->total++] = (struct brf_crash_of){
		.incarnation = incarnation, .at = at, .cleared = cleared
	};
	count_crashes(s);
	if (at > s->last_at)
		s->last_at = at;
}

static struct brf_crash_suspect *
get_suspect(struct brf_crash_log *log, const char *caller,
    const struct brf_request_key *key)
{
	struct caller *c = get_caller(log, caller);
	struct brf_crash_suspect *s = find_suspect(c, key);

	return (s != NULL ? s : add_suspect(c, key));
}

/*
 * Whether @other, which was under way at the crash too, is more likely its
 * cause.  Sets @doubtful when it is as likely.
 */
static bool
explains(const struct brf_crash_suspect *other,
    const struct brf_crash_suspect *s, uint64_t incarnation, bool *doubtful)
{
	const struct brf_crash_of *crash;

	if (other == s || other->count < s->count ||
	    other->count < BRF_CRASH_REFUSE)
		return (false);
	crash = find_crash((struct brf_crash_suspect *)other, incarnation);
	if (crash == NULL || !counts(other, crash))
		return (false);
	if (other->count == s->count)
		*doubtful = true;
	return (other->count > s->count);
}

/* Whether a suspect of any caller explains the crash. */
static bool
is_explained(const struct brf_crash_log *log, const struct brf_crash_suspect *s,
    uint64_t incarnation, bool *doubtful)
{
	const struct caller *c;
	struct brf_list *lc, *l;
	size_t i;

	brf_list_foreach (lc, &log->callers) {
		c = brf_list_entry(lc, struct caller, link);
		for (i = 0; i < BUCKETS && c->count != 0; i++) {
			brf_list_foreach (l, &c->suspects[i]) {
				if (explains(
					brf_list_entry(
					    l, struct brf_crash_suspect, link),
					s, incarnation, doubtful))
					return (true);
			}
		}
	}
	return (false);
}

/* Compute the weight of @s. */
static void
weigh(const struct brf_crash_log *log, struct brf_crash_suspect *s)
{
	bool doubtful = false;
	size_t i;

	if (s->weighed_at == log->changes)
		return;
	s->weighed_at = log->changes;
	s->weight = s->count;
	if (s->count < BRF_CRASH_ISOLATE)
		return;
	for (i = 0; i < s->total; i++) {
		if (counts(s, &s->crashes[i]) &&
		    is_explained(log, s, s->crashes[i].incarnation, &doubtful))
			s->weight--;
	}
	if (doubtful && s->weight == BRF_CRASH_REFUSE)
		s->weight--;
}

const struct brf_crash_suspect *
brf_crash_log_find(struct brf_crash_log *log, const char *caller,
    const struct brf_request_key *key)
{
	struct brf_crash_suspect *s =
	    find_suspect(find_caller(log, caller), key);

	if (s != NULL)
		weigh(log, s);
	return (s);
}

const struct brf_crash_suspect *
brf_crash_log_add(struct brf_crash_log *log, const char *caller,
    const struct brf_request_key *key, uint64_t incarnation, uint64_t at)
{
	struct brf_crash_suspect *s = get_suspect(log, caller, key);

	if (s == NULL || find_crash(s, incarnation) != NULL)
		return (NULL);
	add_crash(s, incarnation, false, at);
	log->changes++;
	weigh(log, s);
	return (s);
}

void
brf_crash_log_clear(struct brf_crash_log *log, const char *caller,
    const struct brf_request_key *key, uint64_t incarnation, uint64_t now)
{
	struct brf_crash_suspect *s = get_suspect(log, caller, key);
	struct brf_crash_of *crash;

	if (s == NULL)
		return;
	log->changes++;
	crash = find_crash(s, incarnation);
	if (crash == NULL) {
		add_crash(s, incarnation, true, now);
		return;
	}
	crash->cleared = true;
	count_crashes(s);
}

bool
brf_crash_log_answered(struct brf_crash_log *log, const char *caller,
    const struct brf_request_key *key, uint64_t now)
{
	struct caller *c = get_caller(log, caller);
	struct brf_crash_suspect *s = find_suspect(c, key);
	size_t count;

	remember_answered(c, key, now);
	if (s == NULL)
		return (false);
	count = s->count;
	s->answered_at = now;
	count_crashes(s);
	log->changes++;
	return (count >= BRF_CRASH_ISOLATE);
}

bool
brf_crash_log_is_harmless(const struct brf_crash_log *log, const char *caller,
    const struct brf_request_key *key, uint64_t now)
{
	uint64_t at = answered_at(find_caller(log, caller), key);

	return (at != 0 && at + BRF_CRASH_ANSWERED_US >= now);
}

/* Return: time for which the suspect is refused after its last crash. */
static uint64_t
hold_us(const struct brf_crash_suspect *s)
{
	size_t doublings = s->count - BRF_CRASH_REFUSE;

	if (doublings > BRF_CRASH_HOLD_DOUBLINGS)
		doublings = BRF_CRASH_HOLD_DOUBLINGS;
	return (BRF_CRASH_HOLD_US << doublings);
}

enum brf_crash_verdict
brf_crash_log_judge(struct brf_crash_log *log, const char *caller,
    const struct brf_request_key *key, uint64_t now, uint64_t *wait_us)
{
	struct caller *c = find_caller(log, caller);
	struct brf_crash_suspect *s = find_suspect(c, key);
	uint64_t until;

	*wait_us = 0;
	if (s == NULL || s->count == 0)
		return (BRF_CRASH_HARMLESS);
	weigh(log, s);
	if (s->weight < BRF_CRASH_ISOLATE)
		return (BRF_CRASH_SUSPECTED);
	if (s->weight < BRF_CRASH_REFUSE)
		return (BRF_CRASH_ISOLATED);
	until = s->last_at + hold_us(s) + log->trial_delay_us;
	if (s->tried_at != 0 && s->tried_at + BRF_CRASH_TRIAL_US > until)
		until = s->tried_at + BRF_CRASH_TRIAL_US;
	if (now < until) {
		*wait_us = until - now;
		return (BRF_CRASH_REFUSED);
	}
	s->tried_at = now;
	return (BRF_CRASH_TRIED);
}

bool
brf_crash_log_needs_body(
    const struct brf_crash_log *log, const char *caller, uint64_t head)
{
	const struct caller *c = find_caller(log, caller);
	const struct brf_crash_suspect *s;
	const struct brf_list *bucket;
	struct brf_list *l;

	if (c == NULL || c->count == 0)
		return (false);
	bucket = &c->suspects[head % BUCKETS];
	brf_list_foreach (l, bucket) {
		s = brf_list_entry(l, struct brf_crash_suspect, link);
		if (s->key.head == head && s->count >= BRF_CRASH_ISOLATE)
			return (true);
	}
	return (false);
}

static bool
is_expired(const struct brf_crash_suspect *s, uint64_t now)
{
	uint64_t keep = BRF_CRASH_HOLD_US;

	if (s->count >= BRF_CRASH_REFUSE)
		keep += 2 * hold_us(s);
	return (s->last_at + keep < now);
}

void
brf_crash_log_expire(struct brf_crash_log *log, uint64_t now)
{
	struct brf_crash_suspect *s;
	struct brf_list *lc, *l, *next;
	struct caller *c;
	size_t i;

	brf_list_foreach (lc, &log->callers) {
		c = brf_list_entry(lc, struct caller, link);
		for (i = 0; i < BUCKETS && c->count != 0; i++) {
			brf_list_foreach_safe (l, next, &c->suspects[i]) {
				s = brf_list_entry(
				    l, struct brf_crash_suspect, link);
				if (is_expired(s, now))
					remove_suspect(c, s);
			}
		}
	}
}

void
brf_crash_log_visit(struct brf_crash_log *log,
    void (*visit)(
	void *arg, const char *caller, const struct brf_crash_suspect *suspect),
    void *arg)
{
	struct brf_crash_suspect *s;
	const struct caller *c;
	struct brf_list *lc, *l;
	size_t i;

	brf_list_foreach (lc, &log->callers) {
		c = brf_list_entry(lc, struct caller, link);
		for (i = 0; i < BUCKETS; i++) {
			brf_list_foreach (l, &c->suspects[i]) {
				s = brf_list_entry(
				    l, struct brf_crash_suspect, link);
				weigh(log, s);
				visit(arg, c->name, s);
			}
		}
	}
}
