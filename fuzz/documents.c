#include <stdlib.h>

#include "wire/documents.h"

/* libFuzzer's name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
newer(struct brf_document_source *source,
    const struct brf_known_revision *known, size_t count,
    bool (*emit)(const struct brf_document_update *news, void *arg), void *arg)
{
	struct brf_document_update news = { .text = "{}", .len = 2 };
	size_t i;

	(void)source;
	for (i = 0; i < count; i++) {
		if (known[i].service[0] == '\0')
			abort();
		news.service = known[i].service;
		news.revision = known[i].revision;
		if (!emit(&news, arg))
			return;
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const struct brf_document_source_vt vt = { .newer = newer };
	struct brf_document_source source = { .vt = &vt };
	struct brf_record record = { .data = brf_calloc(size, 1), .len = size };
	struct brf_buf out = { .data = NULL };
	struct brf_error err;
	XDR xdr;

	if (size != 0)
		memcpy(record.data, data, size);
	xdrmem_create(&xdr, record.data, (u_int)size, XDR_DECODE);
	if (brf_documents_serve(&source, &xdr, &record, 1, &out, &err) !=
	    (out.len != 0))
		abort();
	brf_buf_free(&out);
	free(record.data);
	return (0);
}
