#include <stdlib.h>
#include <time.h>

#include <jansson.h>

#include "ctl/timeline.h"

#define DEPTH_MAX 32u /* levels of nested calls that are followed */

/* A call is logged while the request that made it is at its gate.  The
 * tolerance covers delayed log lines and differences between clocks. */
#define TIME_TOLERANCE_MS 1000.0

/**
 * struct log_line - a log line about one request.
 *
 * A line that summarizes several requests is stored once for each of them.
 * @json: the whole line; holds the texts of @node and @event
 * @request_copy: text of @request; NULL if @json holds it
 * @ms: Unix time in ms at which the step began
 * @end_ms: Unix time in ms at which the step ended and was logged
 * @depth: level of the request in the tree of calls, 0 for the traced one
 * @selected: part of the trace
 */
struct log_line {
	json_t *json;
	const char *node;
	const char *event;
	const char *request;
	char *request_copy;
	double ms;
	double end_ms;
	unsigned depth;
	bool selected;
};

#define NAME_BYTES_MAX 128u
#define FAILURE_GROUPS_MAX 16u /* groups of failed calls that are counted */

/**
 * struct peer - a target and the node beside it.
 */
struct peer {
	char target[NAME_BYTES_MAX];
	char node[NAME_BYTES_MAX];
};

struct brf_timeline {
	struct log_line *lines;
	size_t count;
	size_t capacity;
	struct peer *peers;
	size_t peer_count;
	size_t peer_capacity;
};

static const char *
get_text(const struct log_line *l, const char *name)
{
	const char *s = json_string_value(json_object_get(l->json, name));

	return (s != NULL ? s : "");
}

static double
get_number(const struct log_line *l, const char *name)
{
	return (json_number_value(json_object_get(l->json, name)));
}

static bool
is_hop(const struct log_line *l)
{
	return (strncmp(l->event, "hop_", 4) == 0);
}

/* Whether the line summarizes several failed requests. */
static bool
is_summary(const struct log_line *l)
{
	return (strcmp(l->event, "requests_failed") == 0);
}

/* Whether the line was logged at the end of a request, by the node at which it
 * entered. */
static bool
is_request_end(const struct log_line *l)
{
	return (is_summary(l) || (strncmp(l->event, "request_", 8) == 0 &&
				     strcmp(l->event, "request_sent") != 0));
}

static bool
is_failure(const struct log_line *l)
{
	return (is_summary(l) || strcmp(l->event, "request_failed") == 0 ||
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
		free(t->lines[i].request_copy);
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
record_peer(struct brf_timeline *t, const char *target, const char *node)
{
	struct peer *p = find_peer(t, target);

	if (p == NULL) {
		if (t->peer_count == t->peer_capacity) {
			t->peer_capacity =
			    t->peer_capacity != 0 ? 2 * t->peer_capacity : 64;
			t->peers = brf_realloc(
			    t->peers, t->peer_capacity * sizeof(*t->peers));
		}
		p = &t->peers[t->peer_count++];
	}
	brf_copy_name(p->target, sizeof(p->target), target);
	brf_copy_name(p->node, sizeof(p->node), node);
}

/* Takes ownership of @json and @request_copy. */
static void
add_line(struct brf_timeline *t, json_t *json, char *request_copy)
{
	struct log_line l = { .json = json };

	l.request_copy = request_copy;
	l.node = get_text(&l, "node");
	l.event = get_text(&l, "event");
	l.request =
	    request_copy != NULL ? request_copy : get_text(&l, "request");
	l.end_ms = parse_time(get_text(&l, "time"));
	l.ms = l.end_ms - get_number(&l, "took_ms");
	if (is_hop(&l))
		l.ms -= get_number(&l, "waited_ms") + get_number(&l, "ran_ms");
	if (t->count == t->capacity) {
		t->capacity = t->capacity != 0 ? 2 * t->capacity : 1024;
		t->lines = brf_realloc(t->lines, t->capacity * sizeof(l));
	}
	t->lines[t->count++] = l;
}

static void
record_target(struct brf_timeline *t, const json_t *json)
{
	struct log_line l = { .json = (json_t *)json };

	if (strcmp(get_text(&l, "event"), "target_known") == 0)
		record_peer(t, get_text(&l, "target"), get_text(&l, "peer"));
}

static void
add_each_request(struct brf_timeline *t, json_t *json, const char *ids)
{
	size_t len;

	for (; *ids != '\0'; ids += len + (ids[len] != '\0')) {
		len = strcspn(ids, " ");
		add_line(t, json_incref(json), brf_strdup(ids, len));
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
		add_line(t, json, NULL);
		return;
	}
	if (json_is_string(json_object_get(json, "requests")))
		add_each_request(t, json,
		    json_string_value(json_object_get(json, "requests")));
	record_target(t, json);
	json_decref(json);
}

void
brf_timeline_read(struct brf_timeline *t, const char *text, size_t len)
{
	const char *end = text + len, *line_end;

	while (text < end) {
		line_end = memchr(text, '\n', (size_t)(end - text));
		if (line_end == NULL)
			line_end = end;
		read_line(t, text, (size_t)(line_end - text));
		text = line_end + 1;
	}
}

static void select_request(
    struct brf_timeline *t, const char *id, unsigned depth);

/* Whether @l logs the end of a call that was made by the request at hop @h. */
static bool
is_call_of(const struct log_line *l, const struct log_line *h)
{
	return (is_request_end(l) && strcmp(l->node, h->node) == 0 &&
		get_number(l, "parent") != 0 &&
		get_number(l, "parent") == get_number(h, "serial") &&
		l->end_ms >= h->ms - TIME_TOLERANCE_MS &&
		l->end_ms <= h->end_ms + TIME_TOLERANCE_MS);
}

static void
select_calls(struct brf_timeline *t, const struct log_line *hop)
{
	size_t i;

	if (hop->depth + 1 >= DEPTH_MAX)
		return;
	for (i = 0; i < t->count; i++) {
		if (!t->lines[i].selected && is_call_of(&t->lines[i], hop))
			select_request(t, t->lines[i].request, hop->depth + 1);
	}
}

/* Select the lines of a request and, recursively, of the calls that it made. */
static void
select_request(struct brf_timeline *t, const char *id, unsigned depth)
{
	size_t i;

	for (i = 0; i < t->count; i++) {
		if (strcmp(t->lines[i].request, id) != 0)
			continue;
		t->lines[i].selected = true;
		t->lines[i].depth = depth;
	}
	for (i = 0; i < t->count; i++) {
		if (strcmp(t->lines[i].request, id) == 0 &&
		    is_hop(&t->lines[i]))
			select_calls(t, &t->lines[i]);
	}
}

static int
compare_time(const void *a, const void *b)
{
	const struct log_line *la = a, *lb = b;

	if (la->ms != lb->ms)
		return (la->ms < lb->ms ? -1 : 1);
	if (la->end_ms != lb->end_ms)
		return (la->end_ms < lb->end_ms ? -1 : 1);
	return (strcmp(la->event, lb->event));
}

static void
write_fields(const struct log_line *l, struct brf_buf *out)
{
	static const char *const header_fields[] = { "time", "level", "node",
		"event", "request", "requests" };
	const char *name;
	json_t *value;
	char *text;
	size_t i;

	json_object_foreach (l->json, name, value) {
		for (i = 0; i < brf_nitems(header_fields); i++) {
			if (strcmp(name, header_fields[i]) == 0)
				break;
		}
		if (i < brf_nitems(header_fields))
			continue;
		text =
		    json_dumps(value, JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));
		brf_buf_printf(out, " %s=%s", name, text);
		free(text);
	}
}

static void
write_step(const struct log_line *l, double start, struct brf_buf *out)
{
	brf_buf_printf(out, "%9.0f ms  %*s%s at %s: %s", l->ms - start,
	    (int)(2 * l->depth), "", l->event, l->node, l->request);
	write_fields(l, out);
	brf_buf_puts(out, "\n");
}

/* Whether a call that the request made at @hop failed or was late. */
static bool
hop_has_failed_call(const struct brf_timeline *t, const struct log_line *hop)
{
	size_t i;

	for (i = 0; i < t->count; i++) {
		if (t->lines[i].selected && is_failure(&t->lines[i]) &&
		    is_call_of(&t->lines[i], hop))
			return (true);
	}
	return (false);
}

static void
write_hop_cause(const struct log_line *h, struct brf_buf *out)
{
	brf_buf_printf(out,
	    "cause: %s: %s at %s, reason %s, status %.0f: waited %.0f ms of at "
	    "most %.0f, ran %.0f ms, %.0f ms left; %.0f of %.0f slots taken, "
	    "%.0f waiting\n",
	    h->request, h->event, h->node, get_text(h, "reason"),
	    get_number(h, "status"), get_number(h, "waited_ms"),
	    get_number(h, "patience_ms"), get_number(h, "ran_ms"),
	    get_number(h, "left_ms"), get_number(h, "running"),
	    get_number(h, "limit"), get_number(h, "waiting"));
}

/* Gates log no line for most answered requests, so this uses the load that the
 * gate reported with its answer. */
static void
write_sent_cause(const struct log_line *l, struct brf_buf *out)
{
	brf_buf_printf(out,
	    "cause: %s: %s to %s from %s, %s after %.0f ms (%.0f ms "
	    "estimated); "
	    "its gate told %.0f of %.0f slots taken, %.0f waiting, %.0f ms a "
	    "run\n",
	    l->request, l->event, get_text(l, "target"), l->node,
	    get_text(l, "outcome"), get_number(l, "took_ms"),
	    get_number(l, "estimate_ms"), get_number(l, "running"),
	    get_number(l, "limit"), get_number(l, "waiting"),
	    get_number(l, "service_ms"));
}

static void
write_sent_causes(const struct brf_timeline *t, const struct log_line *failed,
    struct brf_buf *out)
{
	size_t i;

	for (i = 0; i < t->count; i++) {
		if (t->lines[i].selected &&
		    strcmp(t->lines[i].event, "request_sent") == 0 &&
		    strcmp(t->lines[i].request, failed->request) == 0)
			write_sent_cause(&t->lines[i], out);
	}
}

static void
write_end_cause(const struct log_line *l, struct brf_buf *out)
{
	brf_buf_printf(out,
	    "cause: %s: %s at %s, reason %s, status %.0f after %.0f ms and "
	    "%.0f hops; share of its route that begins %.3g\n",
	    l->request, l->event, l->node, get_text(l, "reason"),
	    get_number(l, "status"), get_number(l, "took_ms"),
	    get_number(l, "hops"), get_number(l, "share"));
}

/* The target that a failed request was last sent to; "" for none. */
static const char *
last_target(const struct brf_timeline *t, const struct log_line *failed)
{
	const char *target = get_text(failed, "target");
	size_t i;

	for (i = 0; i < t->count; i++) {
		if (strcmp(t->lines[i].event, "request_sent") == 0 &&
		    strcmp(t->lines[i].request, failed->request) == 0)
			target = get_text(&t->lines[i], "target");
	}
	return (target);
}

static bool
is_target_failure(const struct log_line *l)
{
	return (get_number(l, "status") >= 500 &&
		strcmp(get_text(l, "reason"), "none") == 0);
}

/**
 * struct failure_group - failed calls with the same service and reason.
 * @example: the first of them
 */
struct failure_group {
	const char *service;
	const char *reason;
	const struct log_line *example;
	unsigned count;
};

static void
count_failure(
    struct failure_group *groups, size_t *count, const struct log_line *l)
{
	const char *service = get_text(l, "service");
	const char *reason = get_text(l, "reason");
	size_t i;

	for (i = 0; i < *count; i++) {
		if (strcmp(groups[i].service, service) == 0 &&
		    strcmp(groups[i].reason, reason) == 0)
			break;
	}
	if (i == FAILURE_GROUPS_MAX)
		return;
	if (i == *count)
		groups[(*count)++] =
		    (struct failure_group){ service, reason, l, 0 };
	groups[i].count++;
}

/* Group the calls made at @node that failed between @from and @to, which are
 * Unix times in ms.  The largest group comes first; the others are not sorted.
 * Return: the number of groups. */
static size_t
group_failures(const struct brf_timeline *t, const char *node, double from,
    double to, struct failure_group *groups)
{
	const struct log_line *l;
	struct failure_group largest;
	size_t i, count = 0;

	for (i = 0; i < t->count; i++) {
		l = &t->lines[i];
		if (is_failure(l) && get_number(l, "nested") != 0 &&
		    strcmp(l->node, node) == 0 && l->end_ms >= from &&
		    l->end_ms <= to)
			count_failure(groups, &count, l);
	}
	for (i = 1; i < count; i++) {
		if (groups[i].count <= groups[0].count)
			continue;
		largest = groups[i];
		groups[i] = groups[0];
		groups[0] = largest;
	}
	return (count);
}

/* Used if a target failed a request and none of the request's calls is known.
 * Lists the calls that failed at the target's node meanwhile, and continues
 * with the target that failed the largest group of them. */
static void
write_concurrent_failures(const struct brf_timeline *t, const char *node,
    double from, double to, unsigned depth, struct brf_buf *out)
{
	struct failure_group groups[FAILURE_GROUPS_MAX];
	size_t i, count = group_failures(t, node, from, to, groups);
	const struct peer *peer;

	for (i = 0; i < count; i++)
		brf_buf_printf(out,
		    "cause: calls made at %s that failed meanwhile: %u to %s, "
		    "%s, such as %s\n",
		    node, groups[i].count, groups[i].service, groups[i].reason,
		    groups[i].example->request);
	if (count == 0 || depth + 1 >= DEPTH_MAX ||
	    !is_target_failure(groups[0].example))
		return;
	peer = find_peer(t, last_target(t, groups[0].example));
	if (peer != NULL)
		write_concurrent_failures(
		    t, peer->node, from, to, depth + 1, out);
}

/* The request on the connection of @failed whose answer broke off; NULL when
 * its line is missing. */
static const struct log_line *
find_broken_answer(const struct brf_timeline *t, const struct log_line *failed)
{
	const struct log_line *l;
	size_t i;

	for (i = 0; i < t->count; i++) {
		l = &t->lines[i];
		if (strcmp(l->event, "request_failed") == 0 &&
		    strcmp(l->node, failed->node) == 0 &&
		    strcmp(get_text(l, "reason"), "broken_answer") == 0 &&
		    get_number(l, "status") == 0 &&
		    l->end_ms > failed->end_ms - TIME_TOLERANCE_MS &&
		    l->end_ms < failed->end_ms + TIME_TOLERANCE_MS &&
		    get_number(l, "connection") ==
			get_number(failed, "connection"))
			return (l);
	}
	return (NULL);
}

static void
write_connection_cause(const struct brf_timeline *t,
    const struct log_line *failed, struct brf_buf *out)
{
	const struct log_line *broken = find_broken_answer(t, failed);

	brf_buf_printf(out,
	    "cause: %s: the answer to %s, earlier on connection %.0f of %s, "
	    "broke off\n",
	    failed->request,
	    broken != NULL ? broken->request : "another request",
	    get_number(failed, "connection"), failed->node);
}

/* Write why a request failed.  If a call that it made failed, nothing is
 * written here, since that call gets a cause of its own. */
static void
write_cause(const struct brf_timeline *t, const struct log_line *failed,
    struct brf_buf *out)
{
	bool reported = false, has_failed_call = false;
	const struct peer *peer;
	const struct log_line *l;
	size_t i;

	if (strcmp(get_text(failed, "reason"), "earlier_broken") == 0) {
		write_connection_cause(t, failed, out);
		return;
	}
	for (i = 0; i < t->count; i++) {
		l = &t->lines[i];
		if (!l->selected || !is_hop(l) ||
		    strcmp(l->request, failed->request) != 0)
			continue;
		if (hop_has_failed_call(t, l)) {
			has_failed_call = true;
			continue;
		}
		write_hop_cause(l, out);
		if (is_target_failure(l))
			write_concurrent_failures(
			    t, l->node, l->ms, l->end_ms, 0, out);
		reported = true;
	}
	if (reported || has_failed_call)
		return;
	write_end_cause(failed, out);
	write_sent_causes(t, failed, out);
	peer = find_peer(t, last_target(t, failed));
	if (is_target_failure(failed) && peer != NULL)
		write_concurrent_failures(t, peer->node,
		    failed->ms - TIME_TOLERANCE_MS,
		    failed->end_ms + TIME_TOLERANCE_MS, 0, out);
}

size_t
brf_timeline_write(struct brf_timeline *t, const char *id, struct brf_buf *out)
{
	size_t i, steps = 0;
	double start = 0;

	for (i = 0; i < t->count; i++)
		t->lines[i].selected = false;
	select_request(t, id, 0);
	qsort(t->lines, t->count, sizeof(t->lines[0]), compare_time);
	for (i = 0; i < t->count; i++) {
		if (!t->lines[i].selected)
			continue;
		if (steps++ == 0)
			start = t->lines[i].ms;
		write_step(&t->lines[i], start, out);
	}
	for (i = 0; i < t->count; i++) {
		if (t->lines[i].selected && is_failure(&t->lines[i]))
			write_cause(t, &t->lines[i], out);
	}
	return (steps);
}

void
brf_timeline_failed(const struct brf_timeline *t, struct brf_buf *out)
{
	const struct log_line *l;
	size_t i;

	for (i = 0; i < t->count; i++) {
		l = &t->lines[i];
		if (is_failure(l) && get_number(l, "nested") == 0)
			brf_buf_printf(out, "%s %s status=%.0f reason=%s\n",
			    l->request, l->event, get_number(l, "status"),
			    get_text(l, "reason"));
	}
}
