#ifndef BRF_RANDOM_H
#define BRF_RANDOM_H

#include "base/base.h"

struct brf_random;

struct brf_random_vt {
	uint64_t (*next)(struct brf_random *random);
};

/**
 * struct brf_random - source of uniformly distributed 64-bit numbers.
 */
struct brf_random {
	const struct brf_random_vt *vt;
};

static inline uint64_t
brf_random_next(struct brf_random *random)
{
	return (random->vt->next(random));
}

/* Uniform in [0, n); n must not be 0. */
static inline uint64_t
brf_random_below(struct brf_random *random, uint64_t n)
{
	return (
	    (uint64_t)(((unsigned __int128)brf_random_next(random) * n) >> 64));
}

/* Uniform in [0, 1). */
static inline double
brf_random_unit(struct brf_random *random)
{
	return ((double)(brf_random_next(random) >> 11) * 0x1.0p-53);
}

/**
 * struct brf_random_seeded - source whose numbers depend on its seed only, for
 * tests and load generators.
 * @count: numbers drawn so far
 */
struct brf_random_seeded {
	struct brf_random random;
	uint64_t seed;
	uint64_t count;
};

/**
 * struct brf_id - 128 random bits that identify a request, attempt or process.
 */
struct brf_id {
	uint64_t hi;
	uint64_t lo;
};

#define BRF_ID_TEXT 33 /* bytes of an id in hex, with the final NUL */

static inline bool
brf_id_equal(struct brf_id a, struct brf_id b)
{
	return (a.hi == b.hi && a.lo == b.lo);
}

static inline bool
brf_id_is_zero(struct brf_id id)
{
	return (id.hi == 0 && id.lo == 0);
}

BRF_BEGIN_DECLS

/**
 * brf_random_system() - cryptographically secure source; never freed.
 */
struct brf_random *brf_random_system(void);

void brf_random_seeded_init(struct brf_random_seeded *s, uint64_t seed);

struct brf_id brf_id_new(struct brf_random *random);

/**
 * brf_id_format() - write @id as 32 lower-case hex digits and a NUL.
 */
void brf_id_format(struct brf_id id, char out[BRF_ID_TEXT]);

/**
 * brf_id_parse() - parse exactly 32 hex digits.
 * @s: text of @len bytes, not necessarily NUL-terminated
 *
 * Return: whether @s was valid; @id is filled only then.
 */
bool brf_id_parse(const char *s, size_t len, struct brf_id *id);

BRF_END_DECLS

#endif
