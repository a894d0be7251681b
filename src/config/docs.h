#ifndef BRF_DOCS_H
#define BRF_DOCS_H

#include "base/list.h"
#include "config/document.h"

/**
 * DOC: The documents in force at this node.
 *
 * A document only ever gives way to one of a higher revision, whoever brings
 * it.  A deletion is a revision too: the defaults then hold under it.
 */

/**
 * enum brf_docs_result - what brf_docs_apply() did.
 */
enum brf_docs_result {
	BRF_DOCS_APPLIED,
	BRF_DOCS_SAME,	  /* this revision is in force already */
	BRF_DOCS_OLDER,	  /* a higher revision is in force */
	BRF_DOCS_DIFFERS, /* this revision is in force with another text, which
			   * stays: the store has gone back in time */
	BRF_DOCS_INVALID  /* it breaks a rule; what was in force stays */
};

#define BRF_DOCS_MAX 1024u /* services; further ones are BRF_DOCS_INVALID */

struct brf_docs_watcher {
	void (*changed)(struct brf_docs_watcher *w, const char *service);
	struct brf_list link;
};

struct brf_docs;

BRF_BEGIN_DECLS

struct brf_docs *brf_docs_new(void);
void brf_docs_free(struct brf_docs *docs);

/**
 * brf_docs_apply() - a document has come from the store or a peer.
 * @text: JSON; NULL with @len 0 for a deletion
 */
enum brf_docs_result brf_docs_apply(struct brf_docs *docs, const char *service,
    uint64_t revision, const char *text, size_t len);

/**
 * brf_docs_get() - the document in force for @service, or its defaults.
 *
 * Return: owned by @docs and valid until the next call of any function here;
 * reference it to judge a request by one revision from start to end.
 */
struct brf_document *brf_docs_get(struct brf_docs *docs, const char *service);

/* Over all services, revisions and texts, in any order of arrival; equal
 * digests mean equal documents. */
uint64_t brf_docs_digest(const struct brf_docs *docs);

/**
 * brf_docs_each() - each known service, its revision and text (NULL when
 * deleted).
 */
void brf_docs_each(const struct brf_docs *docs,
    void (*visit)(const char *service, uint64_t revision, const char *text,
	size_t len, void *arg),
    void *arg);

void brf_docs_watch(struct brf_docs *docs, struct brf_docs_watcher *w);
void brf_docs_unwatch(struct brf_docs_watcher *w);

BRF_END_DECLS

#endif
