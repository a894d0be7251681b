#include <stdlib.h>

#include <openssl/rand.h>
#include <xxhash.h>

#include "base/hex.h"
#include "base/random.h"

#define POOL_WORDS 64

/* Fetch numbers from the library in batches to keep the cost of its calls off
 * the hot path. */
static uint64_t
system_next(struct brf_random *random)
{
	static uint64_t pool[POOL_WORDS];
	static size_t available;

	(void)random;
	if (available == 0) {
		if (RAND_bytes((unsigned char *)pool, sizeof(pool)) != 1)
			abort();
		available = POOL_WORDS;
	}
	return (pool[--available]);
}

static uint64_t
seeded_next(struct brf_random *random)
{
	struct brf_random_seeded *s =
	    brf_container_of(random, struct brf_random_seeded, random);

	s->count++;
	return (XXH3_64bits_withSeed(&s->count, sizeof(s->count), s->seed));
}

static const struct brf_random_vt system_vt = { .next = system_next };
static const struct brf_random_vt seeded_vt = { .next = seeded_next };

struct brf_random *
brf_random_system(void)
{
	static struct brf_random random = { .vt = &system_vt };

	return (&random);
}

void
brf_random_seeded_init(struct brf_random_seeded *s, uint64_t seed)
{
	s->random.vt = &seeded_vt;
	s->seed = seed;
	s->count = 0;
}

struct brf_id
brf_id_new(struct brf_random *random)
{
	struct brf_id id = { .hi = brf_random_next(random),
		.lo = brf_random_next(random) };

	return (id);
}

void
brf_id_format(struct brf_id id, char out[BRF_ID_TEXT])
{
	snprintf(out, BRF_ID_TEXT, "%016llx%016llx", (unsigned long long)id.hi,
	    (unsigned long long)id.lo);
}

bool
brf_id_parse(const char *s, size_t len, struct brf_id *id)
{
	uint64_t words[2] = { 0, 0 };
	size_t i;
	int d;

	if (len != BRF_ID_TEXT - 1)
		return (false);
	for (i = 0; i < len; i++) {
		if ((d = brf_hex_digit(s[i])) < 0)
			return (false);
		words[i / 16] = words[i / 16] << 4 | (uint64_t)d;
	}
	id->hi = words[0];
	id->lo = words[1];
	return (true);
}
