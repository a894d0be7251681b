#include <stdlib.h>
#include <time.h>

#include <jansson.h>

#include "ctl/timeline.h"

#define DEPTH_MAX 32u /* of calls that calls make */
/* A call is logged while the request that made it is at its gate, give or take
 * what lines are held and clocks differ. */
#define SLACK_MS 1000.0

/**
 * struct line - one line of a log, or of one that tells of many requests what
 * it tells of one of them.
 * @owned: text of @request; NULL where it is in @json
 * @ms: when the step began, Unix time
 * @end_ms: when it was logged
 * @depth: of the request in the tree of calls
 * @chosen: belongs to the story
 */
struct line {
	json_t *json;
	const char *node;
	const char *event;
	const char *request;
	char *owned;
	double ms;
	double end_ms;
	unsigned depth;
	bool chosen;
};

#define NAME_MAX_BYTES 128u
#define KINDS_MAX 16u /* of failed calls that are told apart */

/**
 * struct peer - the node beside a target.
 */
struct peer {
	char target[NAME_MAX_BYTES];
	char node[NAME_MAX_BYTES];
};

struct brf_timeline {
	struct line *lines;
	size_t count;
	size_t room;
	struct peer *peers;
	size_t peer_count;
	size_t peer_room;
};

static const char *
text_of(const struct line *l, const char *name)
{
	const char *s = json_string_value(json_object_get(l->json, name));

	return (s != NULL ? s : "");
}

static double
number_of(const struct line *l, const char *name)
{
	return (json_number_value(json_object_get(l->json, name)));
}

static bool
is_hop(const struct line *l)
{
	return (strncmp(l->event, "hop_", 4) == 0);
}

/* One of many requests on a line. */
static bool
is_digest(const struct line *l)
{
	return (strcmp(l->event, "requests_failed") == 0);
}

/* The line that tells how a request ended where it began. */
static bool
is_end(const struct line *l)
{
	return (is_digest(l) || (strncmp(l->event, "request_", 8) == 0 &&
				    strcmp(l->event, "request_sent") != 0));
}

static bool
is_bad(const struct line *l)
{
	return (is_digest(l) || strcmp(l->event, "request_failed") == 0 ||
		strcmp(l->event, "request_late") == 0);
}

/* Unix time in milliseconds of an RFC 3339 time in UTC. */
static double
parse_time(const char *text)
{
	struct tm tm = { .tm_isdst = 0 };
	double seconds;
	int n = sscanf(text, "%d-%d-%dT%d:%d:%lfZ", &tm.tm_year, &tm.tm_mon,
	    &tm.tm_mday, &tm.tm_hour, &tm.tm_min, &seconds);

	if (n != 6)
		return (0);
	tm.tm_year -= 1900;
	tm.tm_mon -= 1;
	return (((double)timegm(&tm) + seconds) * 1000);
}

struct brf_timeline *
brf_timeline_new(void)
{
	return (brf_calloc(1, sizeof(struct brf_timeline)));
}

void
brf_timeline_free(struct brf_timeline *t)
{
	size_t i;

	for (i = 0; i < t->count; i++) {
		json_decref(t->lines[i].json);
		free(t->lines[i].owned);
	}
	free(t->lines);
	free(t->peers);
	free(t);
}

static struct peer *
find_peer(const struct brf_timeline *t, const char *target)
{
	size_t i;

	for (i = 0; i < t->peer_count; i++) {
		if (strcmp(t->peers[i].target, target) == 0)
			return (&t->peers[i]);
	}
	return (NULL);
}

static void
note_peer(struct brf_timeline *t, const char *target, const char *node)
{
	struct peer *p = find_peer(t, target);

	if (p == NULL) {
		if (t->peer_count == t->peer_room) {
			t->peer_room =
			    t->peer_room != 0 ? 2 * t->peer_room : 64;
			t->peers = brf_realloc(
			    t->peers, t->peer_room * sizeof(*t->peers));
		}
		p = &t->peers[t->peer_count++];
	}
	brf_copy_name(p->target, sizeof(p->target), target);
	brf_copy_name(p->node, sizeof(p->node), node);
}

/* Takes over @json and @owned. */
static void
add(struct brf_timeline *t, json_t *json, char *owned)
{
	struct line l = { .json = json };

	l.owned = owned;
	l.node = text_of(&l, "node");
	l.event = text_of(&l, "event");
	l.request = owned != NULL ? owned : text_of(&l, "request");
	l.end_ms = parse_time(text_of(&l, "time"));
	l.ms = l.end_ms - number_of(&l, "took_ms");
	if (is_hop(&l))
		l.ms -= number_of(&l, "waited_ms") + number_of(&l, "ran_ms");
	if (t->count == t->room) {
		t->room = t->room != 0 ? 2 * t->room : 1024;
		t->lines = brf_realloc(t->lines, t->room * sizeof(l));
	}
	t->lines[t->count++] = l;
}

static void
note_target(struct brf_timeline *t, const json_t *json)
{
	struct line l = { .json = (json_t *)json };

	if (strcmp(text_of(&l, "event"), "target_known") == 0)
		note_peer(t, text_of(&l, "target"), text_of(&l, "peer"));
}

static void
add_each(struct brf_timeline *t, json_t *json, const char *ids)
{
	size_t len;

	for (; *ids != '\0'; ids += len + (ids[len] != '\0')) {
		len = strcspn(ids, " ");
		add(t, json_incref(json), brf_strdup(ids, len));
	}
}

static void
read_line(struct brf_timeline *t, const char *line, size_t len)
{
	const char *start = memchr(line, '{', len);
	json_t *json;

	if (start == NULL)
		return;
	json = json_loadb(start, len - (size_t)(start - line), 0, NULL);
	if (json_is_string(json_object_get(json, "request"))) {
		add(t, json, NULL);
		return;
	}
	if (json_is_string(json_object_get(json, "requests")))
		add_each(t, json,
		    json_string_value(json_object_get(json, "requests")));
	note_target(t, json);
	json_decref(json);
}

void
brf_timeline_read(struct brf_timeline *t, const char *text, size_t len)
{
	const char *end = text + len, *stop;

	while (text < end) {
		stop = memchr(text, '\n', (size_t)(end - text));
		if (stop == NULL)
			stop = end;
		read_line(t, text, (size_t)(stop - text));
		text = stop + 1;
	}
}

static void choose(struct brf_timeline *t, const char *id, unsigned depth);

/* Whether @l tells the end of a call that the request at hop @h made. */
static bool
is_call_of(const struct line *l, const struct line *h)
{
	return (is_end(l) && strcmp(l->node, h->node) == 0 &&
		number_of(l, "parent") != 0 &&
		number_of(l, "parent") == number_of(h, "serial") &&
		l->end_ms >= h->ms - SLACK_MS &&
		l->end_ms <= h->end_ms + SLACK_MS);
}

static void
choose_calls(struct brf_timeline *t, const struct line *hop)
{
	size_t i;

	if (hop->depth + 1 >= DEPTH_MAX)
		return;
	for (i = 0; i < t->count; i++) {
		if (!t->lines[i].chosen && is_call_of(&t->lines[i], hop))
			choose(t, t->lines[i].request, hop->depth + 1);
	}
}

/* Take up the lines of a request and of the calls that it made. */
static void
choose(struct brf_timeline *t, const char *id, unsigned depth)
{
	size_t i;

	for (i = 0; i < t->count; i++) {
		if (strcmp(t->lines[i].request, id) != 0)
			continue;
		t->lines[i].chosen = true;
		t->lines[i].depth = depth;
	}
	for (i = 0; i < t->count; i++) {
		if (strcmp(t->lines[i].request, id) == 0 &&
		    is_hop(&t->lines[i]))
			choose_calls(t, &t->lines[i]);
	}
}

static int
by_time(const void *a, const void *b)
{
	const struct line *la = a, *lb = b;

	if (la->ms != lb->ms)
		return (la->ms < lb->ms ? -1 : 1);
	if (la->end_ms != lb->end_ms)
		return (la->end_ms < lb->end_ms ? -1 : 1);
	return (strcmp(la->event, lb->event));
}

static void
write_fields(const struct line *l, struct brf_buf *out)
{
	static const char *const heads[] = { "time", "level", "node", "event",
		"request", "requests" };
	const char *name;
	json_t *value;
	char *text;
	size_t i;

	json_object_foreach (l->json, name, value) {
		for (i = 0; i < brf_nitems(heads); i++) {
			if (strcmp(name, heads[i]) == 0)
				break;
		}
		if (i < brf_nitems(heads))
			continue;
		text =
		    json_dumps(value, JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));
		brf_buf_printf(out, " %s=%s", name, text);
		free(text);
	}
}

static void
write_step(const struct line *l, double start, struct brf_buf *out)
{
	brf_buf_printf(out, "%9.0f ms  %*s%s at %s: %s", l->ms - start,
	    (int)(2 * l->depth), "", l->event, l->node, l->request);
	write_fields(l, out);
	brf_buf_puts(out, "\n");
}

/* Whether a call that the request made at @hop failed or was late. */
static bool
hop_has_bad_call(const struct brf_timeline *t, const struct line *hop)
{
	size_t i;

	for (i = 0; i < t->count; i++) {
		if (t->lines[i].chosen && is_bad(&t->lines[i]) &&
		    is_call_of(&t->lines[i], hop))
			return (true);
	}
	return (false);
}

static void
write_hop_cause(const struct line *h, struct brf_buf *out)
{
	brf_buf_printf(out,
	    "cause: %s: %s at %s, reason %s, status %.0f: waited %.0f ms of at "
	    "most %.0f, ran %.0f ms, %.0f ms left; %.0f of %.0f slots taken, "
	    "%.0f waiting\n",
	    h->request, h->event, h->node, text_of(h, "reason"),
	    number_of(h, "status"), number_of(h, "waited_ms"),
	    number_of(h, "patience_ms"), number_of(h, "ran_ms"),
	    number_of(h, "left_ms"), number_of(h, "running"),
	    number_of(h, "limit"), number_of(h, "waiting"));
}

/* Gates write no line of most answers; their word on their load came along. */
static void
write_sent_cause(const struct line *l, struct brf_buf *out)
{
	brf_buf_printf(out,
	    "cause: %s: %s to %s from %s, %s after %.0f ms (%.0f ms "
	    "estimated); "
	    "its gate told %.0f of %.0f slots taken, %.0f waiting, %.0f ms a "
	    "run\n",
	    l->request, l->event, text_of(l, "target"), l->node,
	    text_of(l, "outcome"), number_of(l, "took_ms"),
	    number_of(l, "estimate_ms"), number_of(l, "running"),
	    number_of(l, "limit"), number_of(l, "waiting"),
	    number_of(l, "service_ms"));
}

static void
write_sent_causes(
    const struct brf_timeline *t, const struct line *bad, struct brf_buf *out)
{
	size_t i;

	for (i = 0; i < t->count; i++) {
		if (t->lines[i].chosen &&
		    strcmp(t->lines[i].event, "request_sent") == 0 &&
		    strcmp(t->lines[i].request, bad->request) == 0)
			write_sent_cause(&t->lines[i], out);
	}
}

static void
write_end_cause(const struct line *l, struct brf_buf *out)
{
	brf_buf_printf(out,
	    "cause: %s: %s at %s, reason %s, status %.0f after %.0f ms and "
	    "%.0f hops; share of its route that begins %.3g\n",
	    l->request, l->event, l->node, text_of(l, "reason"),
	    number_of(l, "status"), number_of(l, "took_ms"),
	    number_of(l, "hops"), number_of(l, "share"));
}

/* The target that a request was sent to last; "" for none. */
static const char *
last_target(const struct brf_timeline *t, const struct line *bad)
{
	const char *target = text_of(bad, "target");
	size_t i;

	for (i = 0; i < t->count; i++) {
		if (strcmp(t->lines[i].event, "request_sent") == 0 &&
		    strcmp(t->lines[i].request, bad->request) == 0)
			target = text_of(&t->lines[i], "target");
	}
	return (target);
}

static bool
is_targets_failure(const struct line *l)
{
	return (number_of(l, "status") >= 500 &&
		strcmp(text_of(l, "reason"), "none") == 0);
}

/**
 * struct kind - calls that failed alike.
 * @example: one of them
 */
struct kind {
	const char *service;
	const char *reason;
	const struct line *example;
	unsigned count;
};

static void
count_kind(struct kind *kinds, size_t *count, const struct line *l)
{
	const char *service = text_of(l, "service");
	const char *reason = text_of(l, "reason");
	size_t i;

	for (i = 0; i < *count; i++) {
		if (strcmp(kinds[i].service, service) == 0 &&
		    strcmp(kinds[i].reason, reason) == 0)
			break;
	}
	if (i == KINDS_MAX)
		return;
	if (i == *count)
		kinds[(*count)++] = (struct kind){ service, reason, l, 0 };
	kinds[i].count++;
}

/* Calls that failed at @node in a span of time, the most frequent first. */
static size_t
find_kinds(const struct brf_timeline *t, const char *node, double from,
    double to, struct kind *kinds)
{
	const struct line *l;
	struct kind most;
	size_t i, count = 0;

	for (i = 0; i < t->count; i++) {
		l = &t->lines[i];
		if (is_bad(l) && number_of(l, "nested") != 0 &&
		    strcmp(l->node, node) == 0 && l->end_ms >= from &&
		    l->end_ms <= to)
			count_kind(kinds, &count, l);
	}
	for (i = 1; i < count; i++) {
		if (kinds[i].count <= kinds[0].count)
			continue;
		most = kinds[i];
		kinds[i] = kinds[0];
		kinds[0] = most;
	}
	return (count);
}

/* Where a target failed a request and no call of it is known: the calls that
 * failed at its node while it ran, and what made the most of those fail. */
static void
write_meanwhile(const struct brf_timeline *t, const char *node, double from,
    double to, unsigned depth, struct brf_buf *out)
{
	struct kind kinds[KINDS_MAX];
	size_t i, count = find_kinds(t, node, from, to, kinds);
	const struct peer *peer;

	for (i = 0; i < count; i++)
		brf_buf_printf(out,
		    "cause: calls made at %s that failed meanwhile: %u to %s, "
		    "%s, such as %s\n",
		    node, kinds[i].count, kinds[i].service, kinds[i].reason,
		    kinds[i].example->request);
	if (count == 0 || depth + 1 >= DEPTH_MAX ||
	    !is_targets_failure(kinds[0].example))
		return;
	peer = find_peer(t, last_target(t, kinds[0].example));
	if (peer != NULL)
		write_meanwhile(t, peer->node, from, to, depth + 1, out);
}

/* Why a request failed, unless a call that it made tells. */
static void
write_cause(
    const struct brf_timeline *t, const struct line *bad, struct brf_buf *out)
{
	bool told = false, below = false;
	const struct peer *peer;
	const struct line *l;
	size_t i;

	for (i = 0; i < t->count; i++) {
		l = &t->lines[i];
		if (!l->chosen || !is_hop(l) ||
		    strcmp(l->request, bad->request) != 0)
			continue;
		if (hop_has_bad_call(t, l)) {
			below = true;
			continue;
		}
		write_hop_cause(l, out);
		if (is_targets_failure(l))
			write_meanwhile(t, l->node, l->ms, l->end_ms, 0, out);
		told = true;
	}
	if (told || below)
		return;
	write_end_cause(bad, out);
	write_sent_causes(t, bad, out);
	peer = find_peer(t, last_target(t, bad));
	if (is_targets_failure(bad) && peer != NULL)
		write_meanwhile(t, peer->node, bad->ms - SLACK_MS,
		    bad->end_ms + SLACK_MS, 0, out);
}

size_t
brf_timeline_write(struct brf_timeline *t, const char *id, struct brf_buf *out)
{
	size_t i, steps = 0;
	double start = 0;

	for (i = 0; i < t->count; i++)
		t->lines[i].chosen = false;
	choose(t, id, 0);
	qsort(t->lines, t->count, sizeof(t->lines[0]), by_time);
	for (i = 0; i < t->count; i++) {
		if (!t->lines[i].chosen)
			continue;
		if (steps++ == 0)
			start = t->lines[i].ms;
		write_step(&t->lines[i], start, out);
	}
	for (i = 0; i < t->count; i++) {
		if (t->lines[i].chosen && is_bad(&t->lines[i]))
			write_cause(t, &t->lines[i], out);
	}
	return (steps);
}

void
brf_timeline_failed(const struct brf_timeline *t, struct brf_buf *out)
{
	const struct line *l;
	size_t i;

	for (i = 0; i < t->count; i++) {
		l = &t->lines[i];
		if (is_bad(l) && number_of(l, "nested") == 0)
			brf_buf_printf(out, "%s %s status=%.0f reason=%s\n",
			    l->request, l->event, number_of(l, "status"),
			    text_of(l, "reason"));
	}
}
