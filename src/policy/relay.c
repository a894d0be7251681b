#include <xxhash.h>

#include "policy/relay.h"

static uint64_t
hash_name(const char *name)
{
	return (XXH3_64bits(name, strlen(name)));
}

static bool
is_ranked(const struct brf_relay_ranking *r, const char *name)
{
	size_t i;

	for (i = 0; i < BRF_RELAYS_PER_ZONE; i++) {
		if (r->best[i].name != NULL &&
		    strcmp(r->best[i].name, name) == 0)
			return (true);
	}
	return (false);
}

void
brf_relay_rank(struct brf_relay_ranking *r, const char *name, const void *data)
{
	struct brf_relay_candidate c = { name, hash_name(name), data }, other;
	size_t i;

	if (is_ranked(r, name))
		return;
	r->members += c.weight;
	for (i = 0; i < BRF_RELAYS_PER_ZONE && c.name != NULL; i++) {
		if (r->best[i].name != NULL && r->best[i].weight >= c.weight)
			continue;
		other = r->best[i];
		r->best[i] = c;
		c = other;
	}
}

bool
brf_relay_is_relay(const struct brf_relay_ranking *r, const char *self)
{
	return (is_ranked(r, self));
}

/* Rendezvous hashing again, of pairs, so that each relay gets its share. */
static uint64_t
pair_weight(const struct brf_relay_candidate *relay, const char *self)
{
	return (XXH3_64bits_withSeed(self, strlen(self), relay->weight));
}

const void *
brf_relay_pick(const struct brf_relay_ranking *r, const char *self,
    bool (*usable)(void *arg, const void *data), void *arg)
{
	const struct brf_relay_candidate *c, *chosen = NULL;
	size_t i;

	if (is_ranked(r, self))
		return (NULL);
	for (i = 0; i < BRF_RELAYS_PER_ZONE; i++) {
		c = &r->best[i];
		if (c->name == NULL || !usable(arg, c->data))
			continue;
		if (chosen == NULL ||
		    pair_weight(c, self) > pair_weight(chosen, self))
			chosen = c;
	}
	return (chosen != NULL ? chosen->data : NULL);
}
