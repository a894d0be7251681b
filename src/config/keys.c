#include <errno.h>
#include <stdlib.h>
#include <unistd.h>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/kdf.h>
#include <openssl/params.h>

#include "base/hex.h"
#include "config/keys.h"
#include "config/name.h"

#define MAC_BYTES 32
#define DERIVED_BYTES 32

struct key {
	char id[BRF_KEY_ID_MAX + 1];
	unsigned char bytes[BRF_KEY_BYTES_MAX];
	size_t len;
};

struct brf_keyring {
	struct key keys[BRF_KEYS_MAX];
	size_t count;
};

static bool
read_fd(int fd, struct brf_buf *out, struct brf_error *err)
{
	ssize_t n;

	/* Reserve the maximum at once: growing the buffer would leave unwiped
	 * copies of the secret. */
	brf_buf_reserve(out, BRF_SECRET_MAX + 1);
	while (out->len <= BRF_SECRET_MAX) {
		n = read(
		    fd, out->data + out->len, BRF_SECRET_MAX + 1 - out->len);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return (brf_error_set(err, BRF_E_SYSTEM, errno,
			    "secret from file descriptor %d", fd));
		if (n == 0)
			break;
		out->len += (size_t)n;
	}
	if (out->len > 0 && out->data[out->len - 1] == '\n')
		out->len--;
	out->data[out->len] = '\0';
	return (true);
}

static bool
read_env(const char *env, struct brf_buf *out, struct brf_error *err)
{
	char *value = getenv(env);
	size_t len;

	if (value == NULL)
		return (
		    brf_error_set(err, BRF_E_SETTING_MISSING, 0, "%s", env));
	len = strlen(value);
	brf_buf_add(out, value, len);
	OPENSSL_cleanse(value, len);
	unsetenv(env);
	return (true);
}

bool
brf_secret_read(
    const char *env, int fd, struct brf_buf *out, struct brf_error *err)
{
	bool ok;

	ok = fd >= 0 ? read_fd(fd, out, err) : read_env(env, out, err);
	if (ok && out->len > BRF_SECRET_MAX)
		ok = brf_error_set(err, BRF_E_TOO_LARGE, 0,
		    "%s: more than %u bytes", env, BRF_SECRET_MAX);
	if (!ok)
		brf_secret_free(out);
	return (ok);
}

void
brf_secret_free(struct brf_buf *secret)
{
	if (secret->data != NULL)
		OPENSSL_cleanse(secret->data, secret->cap);
	brf_buf_free(secret);
}

static const struct key *
find_key(const struct brf_keyring *ring, const char *id, size_t len)
{
	size_t i;

	for (i = 0; i < ring->count; i++) {
		if (strlen(ring->keys[i].id) == len &&
		    memcmp(ring->keys[i].id, id, len) == 0)
			return (&ring->keys[i]);
	}
	return (NULL);
}

/* Parse one "id:hex" of @len bytes and add the key to @ring. */
static bool
parse_key(struct brf_keyring *ring, const char *text, size_t len,
    struct brf_error *err)
{
	struct key *key = &ring->keys[ring->count];
	const char *colon = memchr(text, ':', len);
	size_t id_len = colon != NULL ? (size_t)(colon - text) : 0;
	size_t hex_len = len - id_len - 1;

	if (id_len == 0 || id_len > BRF_KEY_ID_MAX ||
	    !brf_name_valid(text, id_len) || memchr(text, '.', id_len) != NULL)
		return (brf_error_set(err, BRF_E_KEY, 0,
		    "key %zu: write <id>:<hex>, with an id of 1 to %u letters, "
		    "digits, '_' or '-'",
		    ring->count + 1, BRF_KEY_ID_MAX));
	if (hex_len / 2 < BRF_KEY_BYTES_MIN ||
	    hex_len > sizeof(key->bytes) * 2 || hex_len % 2 != 0 ||
	    !brf_hex_read(colon + 1, key->bytes, hex_len / 2))
		return (brf_error_set(err, BRF_E_KEY, 0,
		    "key %zu: write %u to %u bytes as lower-case hex digits",
		    ring->count + 1, BRF_KEY_BYTES_MIN, BRF_KEY_BYTES_MAX));
	if (find_key(ring, text, id_len) != NULL)
		return (brf_error_set(err, BRF_E_KEY, 0,
		    "key %zu: its id is used by an earlier key",
		    ring->count + 1));
	memcpy(key->id, text, id_len);
	key->len = hex_len / 2;
	ring->count++;
	return (true);
}

struct brf_keyring *
brf_keyring_parse(const char *text, size_t len, struct brf_error *err)
{
	struct brf_keyring *ring = brf_calloc(1, sizeof(*ring));
	const char *end = text + len, *comma;
	bool ok = true;

	while (ok) {
		comma = memchr(text, ',', (size_t)(end - text));
		if (comma == NULL)
			comma = end;
		if (ring->count == BRF_KEYS_MAX)
			ok = brf_error_set(err, BRF_E_KEY, 0,
			    "more than %u keys", BRF_KEYS_MAX);
		else
			ok = parse_key(ring, text, (size_t)(comma - text), err);
		if (comma == end)
			break;
		text = comma + 1;
	}
	if (ok)
		return (ring);
	brf_keyring_free(ring);
	return (NULL);
}

void
brf_keyring_free(struct brf_keyring *ring)
{
	if (ring == NULL)
		return;
	OPENSSL_cleanse(ring, sizeof(*ring));
	free(ring);
}

const unsigned char *
brf_keyring_first(const struct brf_keyring *ring, size_t *len)
{
	*len = ring->keys[0].len;
	return (ring->keys[0].bytes);
}

static void
put_parts(struct brf_buf *b, const struct brf_mac_input *input)
{
	size_t i;

	brf_buf_add(b, input->purpose, strlen(input->purpose) + 1);
	for (i = 0; i < input->name_count; i++)
		brf_buf_add(b, input->names[i], strlen(input->names[i]) + 1);
	brf_buf_add(b, input->data, input->len);
}

static void
hkdf(const struct key *from, const struct brf_buf *info, unsigned char *out)
{
	EVP_KDF *kdf = EVP_KDF_fetch(NULL, OSSL_KDF_NAME_HKDF, NULL);
	EVP_KDF_CTX *ctx = EVP_KDF_CTX_new(kdf);
	OSSL_PARAM params[] = {
		OSSL_PARAM_construct_utf8_string(
		    OSSL_KDF_PARAM_DIGEST, (char *)"SHA256", 0),
		OSSL_PARAM_construct_octet_string(
		    OSSL_KDF_PARAM_KEY, (void *)from->bytes, from->len),
		OSSL_PARAM_construct_octet_string(
		    OSSL_KDF_PARAM_INFO, info->data, info->len),
		OSSL_PARAM_construct_end(),
	};

	if (ctx == NULL || EVP_KDF_derive(ctx, out, DERIVED_BYTES, params) != 1)
		abort(); /* no memory, or a library without SHA-256 */
	EVP_KDF_CTX_free(ctx);
	EVP_KDF_free(kdf);
}

struct brf_keyring *
brf_keyring_derive(const struct brf_keyring *master, const char *service)
{
	const struct brf_mac_input input = { .purpose = "brf-operator-v1",
		.data = service,
		.len = strlen(service) };
	struct brf_keyring *ring = brf_calloc(1, sizeof(*ring));
	struct brf_buf info = { 0 };
	size_t i;

	put_parts(&info, &input);
	for (i = 0; i < master->count; i++) {
		memcpy(ring->keys[i].id, master->keys[i].id,
		    sizeof(ring->keys[i].id));
		hkdf(&master->keys[i], &info, ring->keys[i].bytes);
		ring->keys[i].len = DERIVED_BYTES;
	}
	ring->count = master->count;
	brf_buf_free(&info);
	return (ring);
}

void
brf_keyring_write(const struct brf_keyring *ring, struct brf_buf *out)
{
	char hex[2 * BRF_KEY_BYTES_MAX + 1];
	size_t i;

	for (i = 0; i < ring->count; i++) {
		brf_hex_write(ring->keys[i].bytes, ring->keys[i].len, hex);
		hex[2 * ring->keys[i].len] = '\0';
		brf_buf_printf(
		    out, "%s%s:%s", i != 0 ? "," : "", ring->keys[i].id, hex);
	}
	OPENSSL_cleanse(hex, sizeof(hex));
}

static void
compute(const struct key *key, const struct brf_mac_input *input,
    unsigned char out[MAC_BYTES])
{
	struct brf_buf b = { 0 };
	unsigned len = MAC_BYTES;

	put_parts(&b, input);
	if (HMAC(EVP_sha256(), key->bytes, (int)key->len,
		(const unsigned char *)b.data, b.len, out, &len) == NULL)
		abort(); /* no memory, or a library without SHA-256 */
	brf_buf_free(&b);
}

void
brf_mac_make(const struct brf_keyring *ring, const struct brf_mac_input *input,
    char out[BRF_MAC_TEXT])
{
	unsigned char mac[MAC_BYTES];
	char hex[2 * MAC_BYTES + 1];

	compute(&ring->keys[0], input, mac);
	brf_hex_write(mac, sizeof(mac), hex);
	hex[2 * sizeof(mac)] = '\0';
	snprintf(out, BRF_MAC_TEXT, "%s.%s", ring->keys[0].id, hex);
}

bool
brf_mac_check(const struct brf_keyring *ring, const struct brf_mac_input *input,
    const char *mac, struct brf_error *err)
{
	unsigned char want[MAC_BYTES], got[MAC_BYTES];
	const char *dot = strchr(mac, '.');
	const struct key *key = NULL;

	if (dot != NULL)
		key = find_key(ring, mac, (size_t)(dot - mac));
	if (key == NULL)
		return (brf_error_set(err, BRF_E_AUTH, 0, "unknown key"));
	if (strlen(dot + 1) != sizeof(got) * 2 ||
	    !brf_hex_read(dot + 1, got, sizeof(got)))
		return (brf_error_set(err, BRF_E_AUTH, 0, "malformed MAC"));
	compute(key, input, want);
	if (CRYPTO_memcmp(want, got, sizeof(want)) != 0)
		return (brf_error_set(err, BRF_E_AUTH, 0, "wrong MAC"));
	return (true);
}

static struct brf_mac_input
token_input(const char *workspace)
{
	return ((struct brf_mac_input){ .purpose = "brf-workspace-v1",
	    .names = { workspace },
	    .name_count = 1 });
}

bool
brf_workspace_token_mint(const struct brf_keyring *ring, const char *workspace,
    struct brf_buf *out, struct brf_error *err)
{
	struct brf_mac_input input = token_input(workspace);
	char mac[BRF_MAC_TEXT];

	if (!brf_name_valid(workspace, strlen(workspace)))
		return (brf_error_set(
		    err, BRF_E_SETTING_INVALID, 0, "invalid workspace name"));
	brf_mac_make(ring, &input, mac);
	brf_buf_printf(out, "%s.%s", workspace, mac);
	return (true);
}

/* Return: "<key id>.<hex>" in @token, or NULL.  A workspace may contain dots,
 * but key ids and hex digits don't, so the last two dots are the separators. */
static const char *
find_mac(const char *token)
{
	const char *dot = strrchr(token, '.');

	if (dot == NULL)
		return (NULL);
	while (dot > token) {
		if (*--dot == '.')
			return (dot + 1);
	}
	return (NULL);
}

bool
brf_workspace_token_check(const struct brf_keyring *ring, const char *token,
    char workspace[BRF_NAME_MAX + 1], struct brf_error *err)
{
	const char *mac = find_mac(token);
	struct brf_mac_input input;
	size_t len = mac != NULL ? (size_t)(mac - token) - 1 : 0;

	workspace[0] = '\0';
	if (mac == NULL || !brf_name_valid(token, len))
		return (brf_error_set(err, BRF_E_AUTH, 0, "malformed token"));
	memcpy(workspace, token, len);
	workspace[len] = '\0';
	input = token_input(workspace);
	if (brf_mac_check(ring, &input, mac, err))
		return (true);
	workspace[0] = '\0';
	return (false);
}
