#ifndef BRF_KEYS_H
#define BRF_KEYS_H

#include "base/buf.h"
#include "base/error.h"
#include "bulrushford.h"

/**
 * DOC: Shared secrets: key rings, workspace tokens and operator keys.
 *
 * A key ring holds up to BRF_KEYS_MAX keys, each with an id.  New MACs are made
 * with the first key; MACs made with any key of the ring are accepted.  To
 * rotate a key, put the new one first, and remove the old one when nothing made
 * with it is in use any more.
 *
 * All MACs are HMAC-SHA256 (RFC 2104) over a purpose, names and finally
 * arbitrary data, with a NUL after each part but the last.  Names contain no
 * NUL, so different lists of parts never give the same bytes, and a MAC made
 * for one purpose is not valid for another.
 */

#define BRF_KEYS_MAX 4u	      /* keys of a ring */
#define BRF_KEY_ID_MAX 15u    /* letters, digits, '_' and '-' */
#define BRF_KEY_BYTES_MIN 16u /* of one key */
#define BRF_KEY_BYTES_MAX 64u
#define BRF_SECRET_MAX 4096u /* bytes of a secret setting */

/* Size of "<key id>.<64 hex digits>" with its NUL, bytes. */
#define BRF_MAC_TEXT (BRF_KEY_ID_MAX + 1 + 64 + 1)

struct brf_keyring;

BRF_BEGIN_DECLS

/**
 * brf_secret_read() - read a secret setting.
 * @env: environment variable to read if @fd is -1; it is wiped and removed, so
 *	that other processes can't read it
 * @fd: file descriptor to read up to its end, without a final newline; -1 for
 *	none.  It is not closed.
 * @out: filled on success; to be freed by brf_secret_free()
 *
 * Return: false with BRF_E_SETTING_MISSING if neither source exists,
 * BRF_E_TOO_LARGE or BRF_E_SYSTEM.  The error contains no part of the secret.
 */
bool brf_secret_read(
    const char *env, int fd, struct brf_buf *out, struct brf_error *err);
/* Wipe and free @secret. */
void brf_secret_free(struct brf_buf *secret);

/**
 * brf_keyring_parse() - parse a key ring from "id:hex,id:hex".
 *
 * Return: the ring, to be freed by brf_keyring_free(), which wipes it; or NULL
 * with BRF_E_KEY.  The error contains the position of the key, never its bytes.
 */
struct brf_keyring *brf_keyring_parse(
    const char *text, size_t len, struct brf_error *err);
void brf_keyring_free(struct brf_keyring *ring);

/* Return: the bytes of the first key, owned by @ring, for callers that need a
 * raw key; @len is set to their number. */
const unsigned char *brf_keyring_first(
    const struct brf_keyring *ring, size_t *len);

/**
 * brf_keyring_derive() - derive the key ring of one service by HKDF-SHA256
 * (RFC 5869) with an empty salt and the info "brf-operator-v1", NUL, @service.
 *
 * The derived keys reveal nothing about @master or the keys of other services.
 *
 * Return: a ring with the ids of @master and 32 bytes for each key, to be freed
 * by brf_keyring_free().
 */
struct brf_keyring *brf_keyring_derive(
    const struct brf_keyring *master, const char *service);

/**
 * brf_keyring_write() - append the ring in the form of brf_keyring_parse().
 *
 * bulrushctl uses it to give the key of a service to the owner of the service.
 */
void brf_keyring_write(const struct brf_keyring *ring, struct brf_buf *out);

/**
 * struct brf_mac_input - parts covered by a MAC, see DOC above.
 * @purpose: literal that names the use of the MAC and its version
 * @names: @name_count NUL-terminated strings
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
 * brf_mac_make() - write "<key id>.<hex>", made with the first key, to @out.
 */
void brf_mac_make(const struct brf_keyring *ring,
    const struct brf_mac_input *input, char out[BRF_MAC_TEXT]);

/**
 * brf_mac_check() - verify a MAC, in constant time for a given key id.
 *
 * Return: false with BRF_E_AUTH.
 */
bool brf_mac_check(const struct brf_keyring *ring,
    const struct brf_mac_input *input, const char *mac, struct brf_error *err);

/**
 * brf_workspace_token_mint() - append a workspace token to @out.
 *
 * The token is "<workspace>.<key id>.<hex>"; its MAC has the purpose
 * "brf-workspace-v1", the name of the workspace, and no data.
 *
 * Return: false with BRF_E_SETTING_INVALID when @workspace is not a valid name.
 */
bool brf_workspace_token_mint(const struct brf_keyring *ring,
    const char *workspace, struct brf_buf *out, struct brf_error *err);

/**
 * brf_workspace_token_check() - verify a token and extract its workspace.
 * @workspace: set to the name of the workspace, or to "" on error
 *
 * Return: false with BRF_E_AUTH.
 */
bool brf_workspace_token_check(const struct brf_keyring *ring,
    const char *token, char workspace[BRF_NAME_MAX + 1], struct brf_error *err);

BRF_END_DECLS

#endif
