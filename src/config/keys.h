#ifndef BRF_KEYS_H
#define BRF_KEYS_H

#include "base/buf.h"
#include "base/error.h"
#include "bulrushford.h"

/**
 * DOC: Shared secrets: key rings, workspace tokens, operators' keys.
 *
 * A ring holds a few keys, each with an id.  The first makes new MACs; all of
 * them are accepted, so that a key is rotated by putting the new one first
 * and removing the old one when nothing made with it is left.
 *
 * All MACs are HMAC-SHA256 (RFC 2104) over a purpose, names and, last, free
 * bytes, with a NUL after each part but the last; names hold no NUL, so no two
 * lists of parts give the same bytes, and a MAC made for one purpose is none
 * for another.
 */

#define BRF_KEYS_MAX 4u	      /* keys of a ring */
#define BRF_KEY_ID_MAX 15u    /* letters, digits, '_' and '-' */
#define BRF_KEY_BYTES_MIN 16u /* of one key */
#define BRF_KEY_BYTES_MAX 64u
#define BRF_SECRET_MAX 4096u /* bytes of a setting that holds secrets */

/* Bytes of "<key id>.<64 hex digits>" with its NUL. */
#define BRF_MAC_TEXT (BRF_KEY_ID_MAX + 1 + 64 + 1)

struct brf_keyring;

BRF_BEGIN_DECLS

/**
 * brf_secret_read() - the text of a secret setting.
 * @env: environment variable that may hold it; it is wiped and removed, so
 *	that it does not stay visible to others
 * @fd: file descriptor that holds it up to its end, a last newline left out;
 *	-1 for none.  It goes before @env.  It is not closed.
 * @out: filled; give it to brf_secret_free()
 *
 * Return: false with BRF_E_SETTING_MISSING when there is neither, with
 * BRF_E_TOO_LARGE or BRF_E_SYSTEM; the error never holds any of the secret.
 */
bool brf_secret_read(
    const char *env, int fd, struct brf_buf *out, struct brf_error *err);
void brf_secret_free(struct brf_buf *secret);

/**
 * brf_keyring_parse() - read "id:hex,id:hex".
 *
 * Return: NULL with BRF_E_KEY; the error names the place of the key, never
 * its bytes.  To be given to brf_keyring_free(), which wipes it.
 */
struct brf_keyring *brf_keyring_parse(
    const char *text, size_t len, struct brf_error *err);
void brf_keyring_free(struct brf_keyring *ring);

/* The first key, for parts that take plain bytes. */
const unsigned char *brf_keyring_first(
    const struct brf_keyring *ring, size_t *len);

/**
 * brf_keyring_derive() - the ring of one service, by HKDF-SHA256 (RFC 5869)
 * with empty salt and info "brf-operator-v1", NUL, @service.
 *
 * Whoever holds it learns nothing of @master or of other services' keys.
 * Return: ids as in @master, 32 bytes for each key.
 */
struct brf_keyring *brf_keyring_derive(
    const struct brf_keyring *master, const char *service);

/**
 * brf_keyring_write() - as brf_keyring_parse() reads it; for bulrushctl, which
 * hands a service's key to its owner.
 */
void brf_keyring_write(const struct brf_keyring *ring, struct brf_buf *out);

/**
 * struct brf_mac_input - what a MAC covers, see DOC above.
 * @purpose: literal that names the use and its version
 * @names: @name_count NUL-ended strings
 * @data: last part, @len bytes
 */
struct brf_mac_input {
	const char *purpose;
	const char *names[4];
	size_t name_count;
	const void *data;
	size_t len;
};

/**
 * brf_mac_make() - "<key id>.<hex>" by the first key.
 */
void brf_mac_make(const struct brf_keyring *ring,
    const struct brf_mac_input *input, char out[BRF_MAC_TEXT]);

/**
 * brf_mac_check() - in constant time for a given key id.
 *
 * Return: false with BRF_E_AUTH.
 */
bool brf_mac_check(const struct brf_keyring *ring,
    const struct brf_mac_input *input, const char *mac, struct brf_error *err);

/**
 * brf_workspace_token_mint() - a workspace's token "<workspace>.<key
 * id>.<hex>", whose MAC has the purpose "brf-workspace-v1", the name of the
 * workspace, and no data.
 *
 * Return: false with BRF_E_SETTING_INVALID when @workspace is no name.
 */
bool brf_workspace_token_mint(const struct brf_keyring *ring,
    const char *workspace, struct brf_buf *out, struct brf_error *err);

/**
 * brf_workspace_token_check() - prove a token and take the workspace's name
 * from it.
 *
 * Return: false with BRF_E_AUTH; @workspace is empty then.
 */
bool brf_workspace_token_check(const struct brf_keyring *ring,
    const char *token, char workspace[BRF_NAME_MAX + 1], struct brf_error *err);

BRF_END_DECLS

#endif
