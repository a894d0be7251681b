#include <errno.h>

#include "bulrushford.h"
#include "ctl/burn.h"
#include "ctl/commands.h"
#include "ctl/table.h"

#define BAR_BURN_MAX 10.0 /* burn rate that fills the bar */
#define BAR_WIDTH_PX 300.0

static const char *const counter_names[] = { "total", "good", "refused",
	"unknown", "late", "failed" };
static const char *const key_names[] = { "service", "class", "window_s" };
static const char *const columns[] = { "service", "class", "window_s",
	"objective", "within_ms", "total", "good", "refused", "unknown", "late",
	"failed", "burn", NULL };

static json_int_t
get_count(const json_t *o, const char *name)
{
	return (json_integer_value(json_object_get(o, name)));
}

static bool
keys_equal(const json_t *a, const json_t *b)
{
	size_t i;

	for (i = 0; i < brf_nitems(key_names); i++) {
		if (!json_equal(json_object_get(a, key_names[i]),
			json_object_get(b, key_names[i])))
			return (false);
	}
	return (true);
}

static void
add_counts(json_t *to, const json_t *from)
{
	const char *name;
	size_t i;

	for (i = 0; i < brf_nitems(counter_names); i++) {
		name = counter_names[i];
		json_object_set_new(to, name,
		    json_integer(get_count(to, name) + get_count(from, name)));
	}
}

static json_t *
find_entry(const json_t *sum, const json_t *entry)
{
	json_t *existing;
	size_t i;

	json_array_foreach (sum, i, existing) {
		if (keys_equal(existing, entry))
			return (existing);
	}
	return (NULL);
}

void
brf_burn_add(json_t *sum, const json_t *list)
{
	json_t *entry, *existing;
	size_t i;

	json_array_foreach (list, i, entry) {
		if (!json_is_object(entry))
			continue;
		existing = find_entry(sum, entry);
		if (existing != NULL)
			add_counts(existing, entry);
		else
			json_array_append_new(sum, json_copy(entry));
	}
}

void
brf_burn_compute_rates(json_t *sum)
{
	double total, bad, allowed;
	json_t *entry;
	size_t i;

	json_array_foreach (sum, i, entry) {
		total = (double)get_count(entry, "total");
		bad = total - (double)get_count(entry, "good");
		allowed = 1.0 - json_number_value(
				    json_object_get(entry, "objective"));
		json_object_set_new(entry, "burn",
		    total > 0.0 && allowed > 0.0
			? json_real(bad / total / allowed)
			: json_null());
	}
}

static void
put_escaped(struct brf_buf *out, const char *s)
{
	for (; *s != '\0'; s++) {
		if (*s == '<' || *s == '>' || *s == '&' || *s == '"')
			brf_buf_printf(out, "&#%d;", *s);
		else
			brf_buf_putc(out, *s);
	}
}

static void
put_html_row(struct brf_buf *out, const json_t *entry)
{
	const char *service =
	    json_string_value(json_object_get(entry, "service"));
	double burn = json_number_value(json_object_get(entry, "burn"));
	double width = burn / BAR_BURN_MAX;
	size_t i;

	brf_buf_puts(out, "<tr><td>");
	put_escaped(out, service != NULL ? service : "");
	brf_buf_printf(out, "<td>%lld<td>%lld s<td>%.6g<td>%lld ms",
	    (long long)get_count(entry, "class"),
	    (long long)get_count(entry, "window_s"),
	    json_number_value(json_object_get(entry, "objective")),
	    (long long)get_count(entry, "within_ms"));
	for (i = 0; i < brf_nitems(counter_names); i++)
		brf_buf_printf(out, "<td>%lld",
		    (long long)get_count(entry, counter_names[i]));
	brf_buf_printf(out,
	    "<td>%.2f<td><svg width=\"%.0f\" height=\"12\"><rect "
	    "width=\"%.1f\" height=\"12\" fill=\"%s\"/></svg>\n",
	    burn, BAR_WIDTH_PX, BAR_WIDTH_PX * (width < 1.0 ? width : 1.0),
	    burn > 1.0 ? "#b00020" : "#2e7d32");
}

void
brf_burn_write_html(
    const json_t *sum, size_t nodes, size_t known, struct brf_buf *out)
{
	const json_t *entry;
	size_t i;

	brf_buf_printf(out,
	    "<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\">"
	    "<title>Burn of service-level objectives</title><style>"
	    "body{font:14px sans-serif}td,th{padding:2px 8px;"
	    "text-align:right}</style>"
	    "<h1>Burn of service-level objectives</h1>"
	    "<p>From %zu of %zu nodes. A burn rate of 1 uses up the budget in "
	    "exactly its period; bars end at %.0f.</p><table><tr>"
	    "<th>service<th>class<th>window<th>objective<th>within",
	    nodes, known, BAR_BURN_MAX);
	for (i = 0; i < brf_nitems(counter_names); i++)
		brf_buf_printf(out, "<th>%s", counter_names[i]);
	brf_buf_puts(out, "<th>burn<th>\n");
	json_array_foreach (sum, i, entry)
		put_html_row(out, entry);
	brf_buf_puts(out, "</table></html>\n");
}

static bool
write_file(const char *path, const struct brf_buf *text, struct brf_error *err)
{
	FILE *out = fopen(path, "w");
	bool ok;

	if (out == NULL)
		return (brf_error_set(err, BRF_E_SYSTEM, errno, "%s", path));
	ok = fwrite(text->data, 1, text->len, out) == text->len;
	ok = fclose(out) == 0 && ok;
	if (!ok)
		brf_error_set(err, BRF_E_SYSTEM, errno, "%s", path);
	return (ok);
}

static void
print_table(const json_t *sum, size_t nodes, size_t known)
{
	struct brf_buf out = { 0 };

	brf_render_json(sum, columns, &out);
	fputs(out.data, stdout);
	printf("from %zu of %zu nodes\n", nodes, known);
	brf_buf_free(&out);
}

/* Return: the number of nodes that returned a list. */
static size_t
sum_nodes(const struct brf_ctl_node_page *pages, size_t known, json_t *sum)
{
	size_t i, nodes = 0;

	for (i = 0; i < known; i++) {
		if (!json_is_array(pages[i].json))
			continue;
		brf_burn_add(sum, pages[i].json);
		nodes++;
	}
	brf_burn_compute_rates(sum);
	return (nodes);
}

static int
print_burn(struct brf_ctl *ctl, json_t *sum, size_t nodes, size_t known)
{
	struct brf_error err = { .code = BRF_OK };
	struct brf_buf html = { 0 };
	bool ok = true;

	if (nodes == 0 && known != 0) {
		brf_error_set(&err, BRF_E_NOT_FOUND, 0,
		    "none of %zu nodes returned burn rates", known);
		return (brf_ctl_fail(ctl, &err));
	}
	if (ctl->options.html != NULL) {
		brf_burn_write_html(sum, nodes, known, &html);
		ok = write_file(ctl->options.html, &html, &err);
		brf_buf_free(&html);
	}
	if (!ok)
		return (brf_ctl_fail(ctl, &err));
	if (ctl->options.json)
		brf_ctl_print_json(
		    json_pack("{s:I, s:I, s:O}", "nodes", (json_int_t)nodes,
			"known", (json_int_t)known, "burn", sum));
	else
		print_table(sum, nodes, known);
	return (BRF_EXIT_OK);
}

int
brf_ctl_burn(struct brf_ctl *ctl, const char **args, int count)
{
	struct brf_error err = { .code = BRF_OK };
	struct brf_ctl_node_page *pages;
	size_t known, nodes;
	json_t *sum;
	int code;

	(void)args;
	(void)count;
	pages = brf_ctl_fetch_members(ctl, &known, &err);
	if (pages == NULL)
		return (brf_ctl_fail(ctl, &err));
	brf_ctl_get_all(ctl, "/brf/v1/burn", pages, known);
	sum = json_array();
	nodes = sum_nodes(pages, known, sum);
	brf_ctl_node_pages_free(pages, known);
	code = print_burn(ctl, sum, nodes, known);
	json_decref(sum);
	return (code);
}
