#include <ctype.h>
#include <stdlib.h>

#include <xxhash.h>

#include "table/table.h"

#define HOST_MAX 255u	       /* bytes, RFC 1035 */
#define INDEX_SIZE_INITIAL 64u /* slots; a power of two */

/**
 * struct brf_table - see table.h.
 * @services: @service_count services, in the order in which they were added
 * @routes: @route_count routes, in the order in which they were added
 * @index: hash table of routes by host and prefix, with open addressing and
 *	linear probing; @index_size is a power of two
 */
struct brf_table {
	unsigned refs;
	uint64_t revision;
	struct brf_flow_limits limits;
	struct brf_table_service *services;
	size_t service_count;
	struct brf_route **routes;
	size_t route_count;
	struct brf_route **index;
	size_t index_size;
};

struct brf_table *
brf_table_new(uint64_t revision, const struct brf_flow_limits *limits)
{
	struct brf_table *t = brf_calloc(1, sizeof(*t));

	t->refs = 1;
	t->revision = revision;
	t->limits = *limits;
	t->index_size = INDEX_SIZE_INITIAL;
	t->index = brf_calloc(t->index_size, sizeof(void *));
	return (t);
}

struct brf_table *
brf_table_ref(struct brf_table *t)
{
	t->refs++;
	return (t);
}

static void
route_free(struct brf_route *r)
{
	free((char *)r->name);
	free((char *)r->host);
	free((char *)r->prefix);
	free(r->shares);
	free(r);
}

void
brf_table_unref(struct brf_table *t)
{
	size_t i;

	if (t == NULL || --t->refs != 0)
		return;
	for (i = 0; i < t->route_count; i++)
		route_free(t->routes[i]);
	for (i = 0; i < t->service_count; i++)
		free((char *)t->services[i].name);
	free(t->routes);
	free(t->services);
	free(t->index);
	free(t);
}

static char *
copy(const char *s)
{
	return (brf_strdup(s, strlen(s)));
}

void
brf_table_add_service(
    struct brf_table *t, const struct brf_table_service *service)
{
	struct brf_table_service *s;

	t->services = brf_realloc(
	    t->services, (t->service_count + 1) * sizeof(*t->services));
	s = &t->services[t->service_count++];
	*s = *service;
	s->name = copy(service->name);
}

static uint64_t
hash(const char *host, const char *prefix, size_t prefix_len)
{
	return (XXH3_64bits_withSeed(
	    prefix, prefix_len, XXH3_64bits(host, strlen(host))));
}

/* Return: slot of the route in the index, or the free slot to insert it at. */
static struct brf_route **
find_slot(const struct brf_table *t, const char *host, const char *prefix,
    size_t prefix_len)
{
	size_t at = hash(host, prefix, prefix_len) & (t->index_size - 1);
	struct brf_route *r;

	while ((r = t->index[at]) != NULL) {
		if (strcmp(r->host, host) == 0 &&
		    strncmp(r->prefix, prefix, prefix_len) == 0 &&
		    r->prefix[prefix_len] == '\0')
			break;
		at = (at + 1) & (t->index_size - 1);
	}
	return (&t->index[at]);
}

static void
grow_index(struct brf_table *t)
{
	size_t i;

	if (2 * (t->route_count + 1) < t->index_size)
		return;
	free(t->index);
	t->index_size *= 2;
	t->index = brf_calloc(t->index_size, sizeof(void *));
	for (i = 0; i < t->route_count; i++)
		*find_slot(t, t->routes[i]->host, t->routes[i]->prefix,
		    strlen(t->routes[i]->prefix)) = t->routes[i];
}

static bool
check_route(const struct brf_table *t, const struct brf_route *route,
    struct brf_error *err)
{
	size_t i, len = strlen(route->prefix);
	uint64_t sum = 0;

	if (len == 0 || route->prefix[0] != '/' ||
	    route->prefix[len - 1] != '/')
		return (brf_error_set(err, BRF_E_DOCUMENT, 0,
		    "route \"%s\": prefix \"%s\" must begin and end with \"/\"",
		    route->name, route->prefix));
	for (i = 0; i < route->share_count; i++) {
		if (route->shares[i].service >= t->service_count)
			return (brf_error_set(err, BRF_E_DOCUMENT, 0,
			    "route \"%s\": its service is not in the table",
			    route->name));
		sum += route->shares[i].weight;
	}
	if (sum == 0)
		return (brf_error_set(err, BRF_E_DOCUMENT, 0,
		    "route \"%s\": no service with a weight above 0",
		    route->name));
	return (true);
}

bool
brf_table_add_route(
    struct brf_table *t, const struct brf_route *route, struct brf_error *err)
{
	struct brf_route *r, **slot;
	size_t size = route->share_count * sizeof(*r->shares);

	if (!check_route(t, route, err))
		return (false);
	r = brf_calloc(1, sizeof(*r));
	*r = *route;
	r->name = copy(route->name);
	r->host = copy(route->host);
	r->prefix = copy(route->prefix);
	r->shares = brf_calloc(1, size);
	memcpy(r->shares, route->shares, size);
	grow_index(t);
	slot = find_slot(t, r->host, r->prefix, strlen(r->prefix));
	if (*slot == NULL)
		*slot = r; /* otherwise the first of two equal ones stays */
	t->routes =
	    brf_realloc(t->routes, (t->route_count + 1) * sizeof(void *));
	t->routes[t->route_count++] = r;
	return (true);
}

uint64_t
brf_table_revision(const struct brf_table *t)
{
	return (t->revision);
}

const struct brf_flow_limits *
brf_table_limits(const struct brf_table *t)
{
	return (&t->limits);
}

size_t
brf_table_route_count(const struct brf_table *t)
{
	return (t->route_count);
}

const struct brf_route *
brf_table_route(const struct brf_table *t, size_t i)
{
	return (t->routes[i]);
}

uint32_t
brf_table_find_service(const struct brf_table *t, const char *name)
{
	uint32_t i;

	for (i = 0; i < t->service_count; i++) {
		if (strcmp(t->services[i].name, name) == 0)
			return (i);
	}
	return (UINT32_MAX);
}

const struct brf_table_service *
brf_table_service(const struct brf_table *t, uint32_t i)
{
	return (&t->services[i]);
}

/* Write @host to @out in lower case and without its port; hosts are compared
 * case-insensitively (RFC 9110, section 4.2.3).
 * Return: false when it is longer than HOST_MAX. */
static bool
normalize_host(const char *host, char out[HOST_MAX + 1])
{
	size_t i;

	for (i = 0; host[i] != '\0' && host[i] != ':'; i++) {
		if (i == HOST_MAX)
			return (false);
		out[i] = (char)tolower((unsigned char)host[i]);
	}
	out[i] = '\0';
	return (true);
}

const struct brf_route *
brf_table_match(const struct brf_table *t, const char *host, const char *path)
{
	size_t len = strcspn(path, "?#");
	char name[HOST_MAX + 1];
	struct brf_route *r;

	if (!normalize_host(host, name))
		return (NULL);
	for (; len > 0; len--) {
		if (path[len - 1] != '/')
			continue;
		r = *find_slot(t, name, path, len);
		if (r != NULL)
			return (r);
	}
	return (NULL);
}
