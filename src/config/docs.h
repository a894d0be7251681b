#ifndef BRF_DOCS_H
#define BRF_DOCS_H

#include "base/list.h"
#include "config/document.h"

/**
 * DOC: The documents in force at this node, one for each service.
 *
 * A document is replaced only by one of a higher revision, whether it comes
 * from the store or from another node.  A deletion has a revision too; after
 * it, the built-in defaults are in force at that revision.
 */

/**
 * enum brf_docs_result - result of brf_docs_apply().
 * @BRF_DOCS_APPLIED: the document is in force now
 * @BRF_DOCS_SAME: the document was already in force
 * @BRF_DOCS_OLDER: a higher revision is in force
 * @BRF_DOCS_DIFFERS: the same revision with a different text is in force and
 *	stays: the store has lost changes and reuses their revisions
 * @BRF_DOCS_INVALID: the arguments or the text are invalid, or there are
 *	BRF_DOCS_MAX services already; the document in force stays
 */
enum brf_docs_result {
	BRF_DOCS_APPLIED,
	BRF_DOCS_SAME,
	BRF_DOCS_OLDER,
	BRF_DOCS_DIFFERS,
	BRF_DOCS_INVALID
};

#define BRF_DOCS_MAX 1024u /* services */

/**
 * struct brf_docs_watcher - subscription to changes, owned by the caller.
 * @changed: called after a document of @service has been applied
 */
struct brf_docs_watcher {
	void (*changed)(struct brf_docs_watcher *w, const char *service);
	struct brf_list link;
};

struct brf_docs;

BRF_BEGIN_DECLS

struct brf_docs *brf_docs_new(void);
void brf_docs_free(struct brf_docs *docs);

/**
 * brf_docs_apply() - put a document from the store or a peer in force.
 * @revision: revision of the store, at least 1
 * @text: JSON of @len bytes, copied; NULL with @len 0 for a deletion
 *
 * Calls all watchers if the document is applied.
 */
enum brf_docs_result brf_docs_apply(struct brf_docs *docs, const char *service,
    uint64_t revision, const char *text, size_t len);

/**
 * brf_docs_get() - get the document in force for @service, or the defaults.
 *
 * Return: owned by @docs and valid until the next call of any function here.
 * A caller that handles a request by one revision from start to end takes a
 * reference.
 */
struct brf_document *brf_docs_get(struct brf_docs *docs, const char *service);

/* Return: digest of all services, revisions and texts, independent of their
 * order of arrival; equal digests mean equal documents. */
uint64_t brf_docs_digest(const struct brf_docs *docs);

/**
 * brf_docs_each() - call @visit for each known service.
 * @visit: gets the revision and the text of @len bytes, owned by @docs; the
 *	text is NULL when the document was deleted
 */
void brf_docs_each(const struct brf_docs *docs,
    void (*visit)(const char *service, uint64_t revision, const char *text,
	size_t len, void *arg),
    void *arg);

/* Subscribe @w, which must stay valid until brf_docs_unwatch() or
 * brf_docs_free(). */
void brf_docs_watch(struct brf_docs *docs, struct brf_docs_watcher *w);
void brf_docs_unwatch(struct brf_docs_watcher *w);

BRF_END_DECLS

#endif
