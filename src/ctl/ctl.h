#ifndef BRF_CTL_H
#define BRF_CTL_H

#include <sys/socket.h>

#include <jansson.h>
#include <uv.h>

#include "base/metrics.h"
#include "base/random.h"
#include "base/timer.h"
#include "config/store.h"

/**
 * DOC: bulrushctl: what its commands share.
 *
 * A command runs from start to end by turning the loop until what it waits
 * for has come.  Each returns an exit code of bulrushford.h.
 */

struct brf_http_loop;

/**
 * struct brf_ctl_options - the command line.
 * @node: "host:port" of a node's admin HTTP
 * @node_given: whether the operator named a node, or it is the default
 * @store: "host:port", several divided by commas; NULL for none
 * @expect: revision to be replaced; -1 when not given
 * @key_fd: file descriptor of a secret; -1 when not given
 * @page: file for a page to look at; NULL for none
 */
struct brf_ctl_options {
	const char *node;
	bool node_given;
	const char *store;
	bool json;
	bool wait;
	bool replace_unproved;
	int64_t expect;
	uint64_t timeout_us;
	int key_fd;
	const char *page;
};

struct brf_ctl {
	struct brf_ctl_options options;
	uv_loop_t loop;
	uv_timer_t tick;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	struct brf_random *random;
	struct brf_http_loop *http;
	struct brf_store *store;
};

/**
 * struct brf_ctl_command - one command.
 * @name: one word, or two divided by a space
 * @arguments: as shown in the help
 * @least: fewest arguments
 * @most: most arguments
 * @edits: takes --expect, --wait and --replace-unproved
 */
struct brf_ctl_command {
	const char *name;
	const char *arguments;
	const char *help;
	int least;
	int most;
	bool edits;
	int (*run)(struct brf_ctl *ctl, const char **args, int count);
};

BRF_BEGIN_DECLS

/* All commands, in order of the help. */
const struct brf_ctl_command *brf_ctl_commands(size_t *count);

/**
 * brf_ctl_find() - the command that the first words name.
 * @words: taken by the name
 */
const struct brf_ctl_command *brf_ctl_find(
    const char **argv, int argc, int *words);

struct brf_ctl *brf_ctl_new(const struct brf_ctl_options *options);
void brf_ctl_free(struct brf_ctl *ctl);

/* Turn the loop until @done is set. */
void brf_ctl_run_until(struct brf_ctl *ctl, const bool *done);

/**
 * brf_ctl_address() - read "host:port" or "[host]:port", by number, or
 * "localhost".
 */
bool brf_ctl_address(
    const char *text, struct sockaddr_storage *addr, struct brf_error *err);

/**
 * brf_ctl_get() - GET a page of the node and read it as JSON.
 *
 * Return: to be given to json_decref(), or NULL.
 */
json_t *brf_ctl_get(
    struct brf_ctl *ctl, const char *path, struct brf_error *err);

/**
 * struct brf_ctl_page - one page of one of many nodes.
 * @json: NULL when the node did not answer with JSON
 */
struct brf_ctl_page {
	struct sockaddr_storage addr;
	char name[64];
	json_t *json;
};

/**
 * brf_ctl_members() - the admin addresses of all nodes that are not gone, as
 * the node knows them.
 *
 * Return: @count pages, to be given to brf_ctl_pages_free(); NULL on failure.
 */
struct brf_ctl_page *brf_ctl_members(
    struct brf_ctl *ctl, size_t *count, struct brf_error *err);
void brf_ctl_pages_free(struct brf_ctl_page *pages, size_t count);

/* GET @path of each; some at a time. */
void brf_ctl_get_each(struct brf_ctl *ctl, const char *path,
    struct brf_ctl_page *pages, size_t count);

/**
 * brf_ctl_call() - make one call to the store.
 * @answer: filled; give it to brf_store_response_free()
 *
 * Return: false with @err unless the call was done.
 */
bool brf_ctl_call(struct brf_ctl *ctl, const struct brf_store_request *request,
    struct brf_store_response *answer, struct brf_error *err);

/* Connect to the store of the options, once. */
bool brf_ctl_open_store(struct brf_ctl *ctl, struct brf_error *err);

/**
 * brf_ctl_fail() - report @err.
 *
 * Return: the exit code for its type.
 */
int brf_ctl_fail(const struct brf_ctl *ctl, const struct brf_error *err);

/* Print JSON as one line; takes over @json. */
void brf_ctl_print_json(json_t *json);

BRF_END_DECLS

#endif
