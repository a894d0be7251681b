#include <ctype.h>
#include <stdlib.h>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <rpc/rpc.h>

#include "member/codec.h"

#define MAGIC 0x4252u /* first two bytes of each datagram */
#define VERSION 1u

#define MAC_FULL 32u	 /* bytes of HMAC-SHA256 */
#define HEADER_BYTES 52u /* without body and MAC */
#define COUNTS_BYTES 4u
#define BRIEF_BYTES 16u
#define DOCS_BYTES 20u
#define FULL_BYTES 52u /* without the names */
#define TARGET_BYTES 8u
#define SUBJECT_BYTES 8u

struct brf_gossip_codec {
	EVP_MAC *mac;
	EVP_MAC_CTX *ctx;
};

struct brf_gossip_codec *
brf_gossip_codec_new(const unsigned char *key, size_t key_len)
{
	struct brf_gossip_codec *c = brf_calloc(1, sizeof(*c));
	OSSL_PARAM params[] = {
		OSSL_PARAM_construct_utf8_string(
		    OSSL_MAC_PARAM_DIGEST, (char *)"SHA256", 0),
		OSSL_PARAM_construct_end(),
	};
	static const unsigned char empty[1];

	if (key_len == 0)
		key = empty;
	c->mac = EVP_MAC_fetch(NULL, "HMAC", NULL);
	c->ctx = c->mac != NULL ? EVP_MAC_CTX_new(c->mac) : NULL;
	if (c->ctx == NULL || EVP_MAC_init(c->ctx, key, key_len, params) != 1)
		abort();
	return (c);
}

void
brf_gossip_codec_free(struct brf_gossip_codec *c)
{
	if (c == NULL)
		return;
	EVP_MAC_CTX_free(c->ctx);
	EVP_MAC_free(c->mac);
	free(c);
}

static void
sign(struct brf_gossip_codec *c, const void *data, size_t len,
    unsigned char mac[MAC_FULL])
{
	size_t written = 0;

	if (EVP_MAC_init(c->ctx, NULL, 0, NULL) != 1 ||
	    EVP_MAC_update(c->ctx, data, len) != 1 ||
	    EVP_MAC_final(c->ctx, mac, &written, MAC_FULL) != 1)
		abort();
}

static size_t
body_bytes(enum brf_gossip_type type)
{
	static const size_t bytes[BRF_GOSSIP_TYPE_COUNT] = {
		[BRF_GOSSIP_PING_REQ] = TARGET_BYTES,
		[BRF_GOSSIP_INDIRECT_ACK] = SUBJECT_BYTES,
		[BRF_GOSSIP_SYNC] = BRF_GOSSIP_PARTS * sizeof(uint32_t),
	};

	return (bytes[type]);
}

void
brf_gossip_begin(struct brf_gossip *g, enum brf_gossip_type type)
{
	memset(g, 0, offsetof(struct brf_gossip, briefs));
	g->type = type;
	g->size =
	    HEADER_BYTES + COUNTS_BYTES + BRF_GOSSIP_MAC + body_bytes(type);
}

static bool
reserve(struct brf_gossip *g, size_t bytes)
{
	if (g->size + bytes > BRF_DATAGRAM_MAX)
		return (false);
	g->size += bytes;
	return (true);
}

bool
brf_gossip_add_brief(struct brf_gossip *g, const struct brf_gossip_brief *item)
{
	if (g->brief_count == BRF_GOSSIP_BRIEFS_MAX || !reserve(g, BRIEF_BYTES))
		return (false);
	g->briefs[g->brief_count++] = *item;
	return (true);
}

bool
brf_gossip_add_docs(struct brf_gossip *g, const struct brf_gossip_docs *item)
{
	if (g->docs_items == BRF_GOSSIP_DOCS_MAX || !reserve(g, DOCS_BYTES))
		return (false);
	g->docs[g->docs_items++] = *item;
	return (true);
}

static size_t
name_bytes(const char *name)
{
	return ((strlen(name) + 3) / 4 * 4);
}

bool
brf_gossip_add_full(struct brf_gossip *g, const struct brf_member *member,
    const struct brf_gossip_version *version)
{
	size_t bytes = FULL_BYTES + name_bytes(member->zone) +
		       name_bytes(member->region) + name_bytes(member->service);

	if (g->full_count == BRF_GOSSIP_FULLS_MAX || !reserve(g, bytes))
		return (false);
	g->fulls[g->full_count].member = *member;
	g->fulls[g->full_count].version = *version;
	g->full_count++;
	return (true);
}

static bool
code_id(XDR *x, struct brf_id *id)
{
	return (xdr_uint64_t(x, &id->hi) && xdr_uint64_t(x, &id->lo));
}

static bool
code_version(XDR *x, struct brf_gossip_version *v)
{
	uint64_t word =
	    v->incarnation << 16 | (uint64_t)v->fields << 8 | v->state;

	if (!xdr_uint64_t(x, &word))
		return (false);
	v->incarnation = word >> 16;
	v->fields = (uint8_t)(word >> 8);
	v->state = (uint8_t)word;
	return (v->state < BRF_GOSSIP_STATE_COUNT);
}

static bool
code_two(XDR *x, uint16_t *high, uint16_t *low)
{
	uint32_t word = (uint32_t)*high << 16 | *low;

	if (!xdr_uint32_t(x, &word))
		return (false);
	*high = (uint16_t)(word >> 16);
	*low = (uint16_t)word;
	return (true);
}

/* @addr holds network order, @second_port holds host order. */
static bool
code_address(XDR *x, struct sockaddr_in *addr, uint16_t *second_port)
{
	uint32_t ip = ntohl(addr->sin_addr.s_addr);
	uint16_t port = ntohs(addr->sin_port);

	if (!xdr_uint32_t(x, &ip) || !code_two(x, &port, second_port))
		return (false);
	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_addr.s_addr = htonl(ip);
	addr->sin_port = htons(port);
	return (true);
}

/* Accepts only letters, digits and "-_.": names appear in labels and logs. */
static bool
code_name(XDR *x, char *name)
{
	u_int i, len = (u_int)strnlen(name, BRF_NAME_MAX);

	if (!xdr_bytes(x, &name, &len, BRF_NAME_MAX))
		return (false);
	for (i = 0; i < len; i++) {
		if (!isalnum((unsigned char)name[i]) && name[i] != '-' &&
		    name[i] != '_' && name[i] != '.')
			return (false);
	}
	name[len] = '\0';
	return (true);
}

static bool
code_full(XDR *x, struct brf_gossip_full *f)
{
	struct brf_member *m = &f->member;

	if (x->x_op == XDR_DECODE)
		memset(m, 0, sizeof(*m));
	return (code_id(x, &m->node) && code_version(x, &f->version) &&
		code_address(x, &m->addr, &m->rpc_port) &&
		code_two(x, &m->entry_port, &m->admin_port) &&
		code_name(x, m->zone) && code_name(x, m->region) &&
		code_name(x, m->service) && xdr_uint32_t(x, &m->slots));
}

static bool
code_header(XDR *x, struct brf_gossip *g)
{
	uint32_t word = MAGIC << 16 | VERSION << 12 | (uint32_t)g->flags << 8 |
			(uint32_t)g->type;

	if (!xdr_uint32_t(x, &word) || word >> 16 != MAGIC ||
	    (word >> 12 & 0xf) != VERSION)
		return (false);
	if ((word & 0xff) >= BRF_GOSSIP_TYPE_COUNT)
		return (false);
	g->type = (enum brf_gossip_type)(word & 0xff);
	g->flags = word >> 8 & 0xf;
	return (code_id(x, &g->sender) && code_version(x, &g->version) &&
		xdr_uint32_t(x, &g->docs_count) &&
		xdr_uint64_t(x, &g->docs_digest) &&
		xdr_uint64_t(x, &g->digest) && xdr_uint32_t(x, &g->number));
}

static bool
code_body(XDR *x, struct brf_gossip *g)
{
	uint16_t unused = 0;
	size_t i;

	if (g->type == BRF_GOSSIP_PING_REQ)
		return (code_address(x, &g->target, &unused));
	if (g->type == BRF_GOSSIP_INDIRECT_ACK)
		return (xdr_uint64_t(x, &g->subject));
	if (g->type != BRF_GOSSIP_SYNC)
		return (true);
	for (i = 0; i < BRF_GOSSIP_PARTS; i++) {
		if (!xdr_uint32_t(x, &g->parts[i]))
			return (false);
	}
	return (true);
}

static bool
code_counts(XDR *x, struct brf_gossip *g)
{
	uint32_t word =
	    g->brief_count << 16 | g->docs_items << 8 | g->full_count;

	if (!xdr_uint32_t(x, &word))
		return (false);
	g->brief_count = word >> 16;
	g->docs_items = word >> 8 & 0xff;
	g->full_count = word & 0xff;
	return (g->brief_count <= BRF_GOSSIP_BRIEFS_MAX &&
		g->docs_items <= BRF_GOSSIP_DOCS_MAX &&
		g->full_count <= BRF_GOSSIP_FULLS_MAX);
}

static bool
code_items(XDR *x, struct brf_gossip *g)
{
	uint32_t i;

	for (i = 0; i < g->brief_count; i++) {
		if (!xdr_uint64_t(x, &g->briefs[i].key) ||
		    !code_version(x, &g->briefs[i].version))
			return (false);
	}
	for (i = 0; i < g->docs_items; i++) {
		if (!xdr_uint64_t(x, &g->docs[i].key) ||
		    !xdr_uint32_t(x, &g->docs[i].count) ||
		    !xdr_uint64_t(x, &g->docs[i].digest))
			return (false);
	}
	for (i = 0; i < g->full_count; i++) {
		if (!code_full(x, &g->fulls[i]))
			return (false);
	}
	return (true);
}

static bool
code_message(XDR *x, struct brf_gossip *g)
{
	return (code_header(x, g) && code_body(x, g) && code_counts(x, g) &&
		code_items(x, g));
}

size_t
brf_gossip_encode(
    struct brf_gossip_codec *c, struct brf_gossip *g, unsigned char *out)
{
	unsigned char mac[MAC_FULL];
	size_t len;
	XDR x;

	xdrmem_create(
	    &x, (char *)out, BRF_DATAGRAM_MAX - BRF_GOSSIP_MAC, XDR_ENCODE);
	if (!code_message(&x, g))
		return (0);
	len = xdr_getpos(&x);
	sign(c, out, len, mac);
	memcpy(out + len, mac, BRF_GOSSIP_MAC);
	return (len + BRF_GOSSIP_MAC);
}

bool
brf_gossip_decode(struct brf_gossip_codec *c, const void *data, size_t len,
    struct brf_gossip *g, struct brf_error *err)
{
	unsigned char copy[BRF_DATAGRAM_MAX], mac[MAC_FULL];
	XDR x;

	if (len < BRF_GOSSIP_MAC || len > BRF_DATAGRAM_MAX)
		return (brf_error_set(
		    err, BRF_E_DATAGRAM, 0, "datagram has %zu bytes", len));
	memcpy(copy, data, len);
	len -= BRF_GOSSIP_MAC;
	sign(c, copy, len, mac);
	if (CRYPTO_memcmp(mac, copy + len, BRF_GOSSIP_MAC) != 0)
		return (
		    brf_error_set(err, BRF_E_AUTH, 0, "MAC of the datagram"));
	xdrmem_create(&x, (char *)copy, (u_int)len, XDR_DECODE);
	memset(g, 0, offsetof(struct brf_gossip, briefs));
	if (!code_message(&x, g) || xdr_getpos(&x) != len)
		return (brf_error_set(err, BRF_E_DATAGRAM, 0,
		    "malformed datagram at byte %u", xdr_getpos(&x)));
	return (true);
}

/* States below BRF_GOSSIP_SUSPECT are announced by the node itself, one per
 * incarnation, and so need no order among each other. */
static unsigned
precedence(const struct brf_gossip_version *v)
{
	return (v->state < BRF_GOSSIP_SUSPECT ? 0 : v->state);
}

bool
brf_gossip_newer(
    const struct brf_gossip_version *a, const struct brf_gossip_version *b)
{
	if (a->incarnation != b->incarnation)
		return (a->incarnation > b->incarnation);
	return (precedence(a) > precedence(b));
}
