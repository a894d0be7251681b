#include <stdlib.h>

#include <jansson.h>

#include "config/envelope.h"
#include "config/name.h"

static struct brf_mac_input
mac_input(const char *service, const char *edit, const char *text, size_t len)
{
	return ((struct brf_mac_input){ .purpose = "brf-document-v1",
	    .names = { service, edit, text != NULL ? "document" : "deleted" },
	    .name_count = 3,
	    .data = text,
	    .len = text != NULL ? len : 0 });
}

bool
brf_envelope_seal(const struct brf_keyring *ring, const char *service,
    const char *edit, const char *text, size_t len, struct brf_buf *out,
    struct brf_error *err)
{
	struct brf_mac_input input = mac_input(service, edit, text, len);
	char mac[BRF_MAC_TEXT], *dump = NULL;
	json_t *root;

	brf_mac_make(ring, &input, mac);
	root = json_pack("{s:s%, s:b, s:s, s:s}", "document",
	    text != NULL ? text : "", input.len, "deleted", text == NULL,
	    "edit", edit, "mac", mac);
	if (root != NULL)
		dump = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	if (dump == NULL)
		return (brf_error_set(
		    err, BRF_E_JSON, 0, "the document is not UTF-8"));
	brf_buf_puts(out, dump);
	free(dump);
	if (out->len > BRF_ENVELOPE_BYTES_MAX)
		return (brf_error_set(err, BRF_E_TOO_LARGE, 0,
		    "stored document of %zu bytes", out->len));
	return (true);
}

static bool
read_fields(const struct brf_keyring *ring, const char *service, json_t *root,
    struct brf_envelope *out, struct brf_error *err)
{
	struct brf_mac_input input;
	const char *text, *edit, *mac;
	int deleted;
	size_t len;

	if (json_unpack(root, "{s:s%, s:b, s:s, s:s}", "document", &text, &len,
		"deleted", &deleted, "edit", &edit, "mac", &mac) != 0 ||
	    !brf_name_valid(edit, strlen(edit)))
		return (brf_error_set(err, BRF_E_JSON, 0,
		    "malformed stored value of %s", service));
	if (deleted)
		text = NULL;
	input = mac_input(service, edit, text, len);
	if (ring != NULL && !brf_mac_check(ring, &input, mac, err))
		return (false);
	brf_copy_name(out->edit, sizeof(out->edit), edit);
	out->text = text != NULL ? brf_strdup(text, len) : NULL;
	out->len = input.len;
	return (true);
}

bool
brf_envelope_open(const struct brf_keyring *ring, const char *service,
    const char *value, size_t len, struct brf_envelope *out,
    struct brf_error *err)
{
	json_error_t e;
	json_t *root;
	bool ok;

	memset(out, 0, sizeof(*out));
	if (len > BRF_ENVELOPE_BYTES_MAX)
		return (brf_error_set(
		    err, BRF_E_TOO_LARGE, 0, "stored value of %zu bytes", len));
	root = json_loadb(value, len, JSON_REJECT_DUPLICATES, &e);
	if (root == NULL)
		return (brf_error_set(err, BRF_E_JSON, 0,
		    "malformed stored value of %s", service));
	ok = read_fields(ring, service, root, out, err);
	json_decref(root);
	return (ok);
}

void
brf_envelope_free(struct brf_envelope *envelope)
{
	free(envelope->text);
	memset(envelope, 0, sizeof(*envelope));
}
