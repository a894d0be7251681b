#include <stdlib.h>

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "member/codec.h"

/**
 * DOC: Datagrams as an attacker, or a node with another fault, would send them.
 *
 * The input is signed, so that it reaches the decoder and the state machine;
 * every eighth one is not.
 */

#define KEY "0123456789abcdef"
#define MAC_FULL 32u
#define SEEDED 7u
#define STEP_US (150 * BRF_US_PER_MS)

/* libFuzzer's name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
drop(struct brf_datagrams *d, const struct sockaddr_in *to, const void *data,
    size_t len)
{
	(void)d;
	(void)to;
	(void)data;
	if (len > BRF_DATAGRAM_MAX)
		abort();
}

static const struct brf_datagrams_vt drop_vt = { .send = drop };

struct node {
	struct brf_clock_manual clock;
	struct brf_random_seeded random;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	struct brf_datagrams datagrams;
	struct brf_members *members;
};

static void
node_start(struct node *n)
{
	struct brf_members_config c = { .key = KEY,
		.key_len = sizeof(KEY) - 1,
		.period_us = BRF_US_PER_S };

	brf_clock_manual_init(&n->clock, BRF_US_PER_S);
	brf_random_seeded_init(&n->random, SEEDED);
	n->timers = brf_timers_new(&n->clock.clock);
	n->metrics = brf_metrics_new();
	n->datagrams.vt = &drop_vt;
	c.timers = n->timers;
	c.random = &n->random.random;
	c.metrics = n->metrics;
	c.datagrams = &n->datagrams;
	c.self.node.lo = SEEDED;
	c.self.state = BRF_MEMBER_READY;
	n->members = brf_members_new(&c);
	brf_members_start(n->members);
}

static void
node_stop(struct node *n)
{
	brf_members_free(n->members);
	brf_timers_free(n->timers);
	brf_metrics_free(n->metrics);
}

/* Pieces of the input, each with its length before it, are datagrams. */
static size_t
take_piece(const uint8_t *data, size_t size, uint8_t out[BRF_DATAGRAM_MAX])
{
	size_t len = size > 1 ? (size_t)(data[0] | (data[1] & 3) << 8) : 0;

	if (len > size - 2)
		len = size - 2;
	memcpy(out, data + 2, len);
	return (len);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct sockaddr_in from = { .sin_family = AF_INET, .sin_port = 7 };
	uint8_t out[BRF_DATAGRAM_MAX], mac[MAC_FULL];
	struct node n;
	unsigned turn = 0;
	size_t len;

	node_start(&n);
	while (size > 2) {
		len = take_piece(data, size, out);
		data += len + 2;
		size -= len + 2;
		HMAC(EVP_sha256(), KEY, sizeof(KEY) - 1, out, len, mac, NULL);
		memcpy(out + len, mac, BRF_GOSSIP_MAC);
		if (++turn % 8 == 0)
			out[len]++;
		brf_members_receive(
		    n.members, &from, out, len + BRF_GOSSIP_MAC);
		n.clock.now += STEP_US;
		brf_timers_run(n.timers);
	}
	node_stop(&n);
	return (0);
}
