#include "config/envelope.h"
#include "config/store_codec.h"

/* libFuzzer's name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
decode(const struct brf_store_request *request, int status, const char *text,
    size_t len)
{
	struct brf_store_response answer;

	brf_store_decode(request, status, text, len, &answer);
	brf_store_response_free(&answer);
}

/* Whatever a store answers is read or refused; nothing else happens. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const struct brf_store_request requests[] = {
		{ .op = BRF_STORE_GET },
		{ .op = BRF_STORE_PUT },
		{ .op = BRF_STORE_PUT, .compare = true },
		{ .op = BRF_STORE_LEASE_GRANT },
		{ .op = BRF_STORE_LEASE_KEEPALIVE },
		{ .op = BRF_STORE_LEASE_REVOKE },
	};
	const char *text = (const char *)data;
	struct brf_store_event event;
	struct brf_envelope envelope;
	size_t i;

	for (i = 0; i < brf_nitems(requests); i++) {
		decode(&requests[i], 200, text, size);
		decode(&requests[i], 400, text, size);
	}
	if (brf_store_watch_decode(text, size, &event, NULL))
		brf_store_event_free(&event);
	brf_envelope_open(NULL, "s", text, size, &envelope, NULL);
	brf_envelope_free(&envelope);
	return (0);
}
