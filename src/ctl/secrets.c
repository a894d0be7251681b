#include <stdlib.h>

#include <openssl/crypto.h>
#include <openssl/rand.h>

#include "bulrushford.h"
#include "config/keys.h"
#include "ctl/commands.h"
#include "ctl/stored.h"

#define NEW_KEY_BYTES 32

static struct brf_keyring *
read_keyring(const struct brf_ctl *ctl, const char *env, struct brf_error *err)
{
	struct brf_buf secret = { 0 };
	struct brf_keyring *keyring;

	if (!brf_secret_read(env, ctl->options.key_fd, &secret, err))
		return (NULL);
	keyring = brf_keyring_parse(secret.data, secret.len, err);
	brf_secret_free(&secret);
	return (keyring);
}

static void
print_secret(
    const struct brf_ctl *ctl, const char *name, const struct brf_buf *secret)
{
	if (ctl->options.json)
		printf("{\"%s\":\"%s\"}\n", name, secret->data);
	else
		printf("%s\n", secret->data);
}

int
brf_ctl_token(struct brf_ctl *ctl, const char **args, int count)
{
	struct brf_error err = { .code = BRF_OK };
	struct brf_keyring *keyring;
	struct brf_buf token = { 0 };
	bool ok;

	(void)count;
	keyring = read_keyring(ctl, "BRF_WORKSPACE_KEYS", &err);
	ok = keyring != NULL &&
	     brf_workspace_token_mint(keyring, args[0], &token, &err);
	if (ok)
		print_secret(ctl, "token", &token);
	brf_secret_free(&token);
	brf_keyring_free(keyring);
	return (ok ? BRF_EXIT_OK : brf_ctl_fail(ctl, &err));
}

int
brf_ctl_key(struct brf_ctl *ctl, const char **args, int count)
{
	struct brf_error err = { .code = BRF_OK };
	struct brf_keyring *operator_keyring, *keyring;
	struct brf_buf text = { 0 };

	(void)count;
	if (!brf_ctl_check_service(args[0], &err))
		return (brf_ctl_fail(ctl, &err));
	operator_keyring = read_keyring(ctl, "BRF_OPERATOR_KEY", &err);
	if (operator_keyring == NULL)
		return (brf_ctl_fail(ctl, &err));
	keyring = brf_keyring_derive(operator_keyring, args[0]);
	brf_keyring_write(keyring, &text);
	print_secret(ctl, "key", &text);
	brf_secret_free(&text);
	brf_keyring_free(keyring);
	brf_keyring_free(operator_keyring);
	return (BRF_EXIT_OK);
}

int
brf_ctl_mint(struct brf_ctl *ctl, const char **args, int count)
{
	struct brf_error err = { .code = BRF_OK };
	unsigned char bytes[NEW_KEY_BYTES];
	struct brf_keyring *keyring;
	struct brf_buf text = { 0 };
	size_t i;

	(void)count;
	if (RAND_bytes(bytes, sizeof(bytes)) != 1) {
		brf_error_set(&err, BRF_E_SYSTEM, 0,
		    "the system returned no random bytes");
		return (brf_ctl_fail(ctl, &err));
	}
	brf_buf_reserve(&text, BRF_SECRET_MAX);
	brf_buf_printf(&text, "%.32s:", args[0]);
	for (i = 0; i < sizeof(bytes); i++)
		brf_buf_printf(&text, "%02x", bytes[i]);
	OPENSSL_cleanse(bytes, sizeof(bytes));
	/* parsed only to check the id */
	keyring = brf_keyring_parse(text.data, text.len, &err);
	if (keyring != NULL)
		print_secret(ctl, "key", &text);
	brf_secret_free(&text);
	brf_keyring_free(keyring);
	return (keyring != NULL ? BRF_EXIT_OK : brf_ctl_fail(ctl, &err));
}
