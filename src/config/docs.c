#include <stdlib.h>

#include <xxhash.h>

#include "config/docs.h"
#include "config/name.h"

/**
 * struct entry - document in force for one service.
 * @document: parsed from @text, or the defaults when deleted
 * @text: JSON as received, @len bytes; NULL when deleted
 * @hash: hash of service, revision and text
 */
struct entry {
	struct brf_list link;
	struct brf_document *document;
	char *text;
	size_t len;
	uint64_t hash;
};

/**
 * struct brf_docs - all documents in force.
 * @count: number of @entries
 * @digest: sum of the hashes of all entries
 * @defaults: default document of the service without an entry that was
 *	requested last.  Only one is kept, so that requests for arbitrary
 *	service names can't exhaust memory.
 */
struct brf_docs {
	struct brf_list entries;
	size_t count;
	uint64_t digest;
	struct brf_list watchers;
	struct brf_document *defaults;
};

struct brf_docs *
brf_docs_new(void)
{
	struct brf_docs *docs = brf_calloc(1, sizeof(*docs));

	brf_list_init(&docs->entries);
	brf_list_init(&docs->watchers);
	return (docs);
}

void
brf_docs_free(struct brf_docs *docs)
{
	struct brf_list *l, *tmp;
	struct entry *e;

	if (docs == NULL)
		return;
	brf_list_foreach_safe (l, tmp, &docs->entries) {
		e = brf_list_entry(l, struct entry, link);
		brf_document_unref(e->document);
		free(e->text);
		free(e);
	}
	brf_list_foreach_safe (l, tmp, &docs->watchers)
		brf_list_remove(l);
	brf_document_unref(docs->defaults);
	free(docs);
}

static struct entry *
find_entry(const struct brf_docs *docs, const char *service)
{
	struct brf_list *l;
	struct entry *e;

	brf_list_foreach (l, &docs->entries) {
		e = brf_list_entry(l, struct entry, link);
		if (strcmp(e->document->service, service) == 0)
			return (e);
	}
	return (NULL);
}

static uint64_t
entry_hash(const char *service, uint64_t revision, const char *text, size_t len)
{
	uint64_t seed = XXH3_64bits(service, strlen(service));

	seed = XXH3_64bits_withSeed(&revision, sizeof(revision), seed);
	if (text == NULL)
		return (seed);
	return (XXH3_64bits_withSeed(text, len, ~seed));
}

static enum brf_docs_result
compare_revision(const struct entry *e, uint64_t revision, uint64_t hash)
{
	if (revision > e->document->revision)
		return (BRF_DOCS_APPLIED);
	if (revision < e->document->revision)
		return (BRF_DOCS_OLDER);
	return (hash == e->hash ? BRF_DOCS_SAME : BRF_DOCS_DIFFERS);
}

/* Return: NULL when the text is invalid. */
static struct brf_document *
parse_text(const char *service, uint64_t revision, const char *text, size_t len)
{
	struct brf_problems problems;
	struct brf_document *d;

	if (text == NULL) {
		d = brf_document_default(service);
	} else {
		d = brf_document_parse(text, len, service, &problems);
		brf_problems_free(&problems);
	}
	if (d != NULL)
		d->revision = revision;
	return (d);
}

static struct entry *
add_entry(struct brf_docs *docs)
{
	struct entry *e = brf_calloc(1, sizeof(*e));

	brf_list_append(&docs->entries, &e->link);
	docs->count++;
	return (e);
}

static void
replace(struct brf_docs *docs, struct entry *e, struct brf_document *d,
    const char *text, size_t len)
{
	brf_document_unref(e->document);
	free(e->text);
	docs->digest -= e->hash;
	e->document = d;
	e->text = text != NULL ? brf_strdup(text, len) : NULL;
	e->len = text != NULL ? len : 0;
	e->hash = entry_hash(d->service, d->revision, text, len);
	docs->digest += e->hash;
}

static void
notify_watchers(struct brf_docs *docs, const char *service)
{
	struct brf_docs_watcher *w;
	struct brf_list *l, *tmp;

	brf_list_foreach_safe (l, tmp, &docs->watchers) {
		w = brf_list_entry(l, struct brf_docs_watcher, link);
		w->changed(w, service);
	}
}

enum brf_docs_result
brf_docs_apply(struct brf_docs *docs, const char *service, uint64_t revision,
    const char *text, size_t len)
{
	struct entry *e = find_entry(docs, service);
	enum brf_docs_result result;
	struct brf_document *d;

	if (revision == 0 || !brf_name_valid(service, strlen(service)) ||
	    (e == NULL && docs->count == BRF_DOCS_MAX))
		return (BRF_DOCS_INVALID);
	if (e != NULL) {
		result = compare_revision(
		    e, revision, entry_hash(service, revision, text, len));
		if (result != BRF_DOCS_APPLIED)
			return (result);
	}
	d = parse_text(service, revision, text, len);
	if (d == NULL)
		return (BRF_DOCS_INVALID);
	if (e == NULL)
		e = add_entry(docs);
	replace(docs, e, d, text, len);
	notify_watchers(docs, e->document->service);
	return (BRF_DOCS_APPLIED);
}

struct brf_document *
brf_docs_get(struct brf_docs *docs, const char *service)
{
	struct entry *e = find_entry(docs, service);

	if (e != NULL)
		return (e->document);
	if (docs->defaults != NULL &&
	    strcmp(docs->defaults->service, service) == 0)
		return (docs->defaults);
	brf_document_unref(docs->defaults);
	docs->defaults = brf_document_default(service);
	return (docs->defaults);
}

uint64_t
brf_docs_digest(const struct brf_docs *docs)
{
	return (docs->digest);
}

void
brf_docs_each(const struct brf_docs *docs,
    void (*visit)(const char *service, uint64_t revision, const char *text,
	size_t len, void *arg),
    void *arg)
{
	struct brf_list *l, *tmp;
	struct entry *e;

	brf_list_foreach_safe (l, tmp, &docs->entries) {
		e = brf_list_entry(l, struct entry, link);
		visit(e->document->service, e->document->revision, e->text,
		    e->len, arg);
	}
}

void
brf_docs_watch(struct brf_docs *docs, struct brf_docs_watcher *w)
{
	brf_list_append(&docs->watchers, &w->link);
}

void
brf_docs_unwatch(struct brf_docs_watcher *w)
{
	brf_list_remove(&w->link);
}
