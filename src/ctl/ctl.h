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
 * DOC: Functions shared by the commands of bulrushctl.
 *
 * Commands are synchronous: a command starts an operation and runs the loop
 * until the operation has completed.  Each command returns one of the exit
 * codes in bulrushford.h.
 */

struct brf_http_loop;

/**
 * struct brf_ctl_options - flags of the command line.
 * @node: "host:port" of a node's admin HTTP server
 * @node_given: false if @node is the default
 * @store: "host:port" of the store, or several separated by commas; NULL if
 *	not given
 * @json: print JSON instead of text
 * @wait: after an edit, wait until it is in force at all nodes
 * @replace_unproved: replace a stored document that the service key does not
 *	authenticate
 * @expect: revision that an edit replaces, 0 if the service has no document;
 *	-1 if not given
 * @timeout_us: time limit of an edit, and of @wait
 * @key_fd: file descriptor to read a secret from; -1 if not given
 * @html: file that `burn` writes an HTML page to; NULL for none
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
	const char *html;
};

/**
 * struct brf_ctl - the state that a command runs with.
 * @wakeup: ends a wait of @loop when the next of @timers is due
 * @store: NULL until brf_ctl_open_store() is called
 */
struct brf_ctl {
	struct brf_ctl_options options;
	uv_loop_t loop;
	uv_timer_t wakeup;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	struct brf_random *random;
	struct brf_http_loop *http;
	struct brf_store *store;
};

/**
 * struct brf_ctl_command - one command.
 * @name: one word, or two separated by a space
 * @arguments: as shown in the help; NULL for none
 * @help: one line of help
 * @min_args: fewest arguments after the name
 * @max_args: most arguments after the name
 * @is_edit: accepts --expect, --wait and --replace-unproved
 * @run: gets the arguments after the name; returns an exit code
 */
struct brf_ctl_command {
	const char *name;
	const char *arguments;
	const char *help;
	int min_args;
	int max_args;
	bool is_edit;
	int (*run)(struct brf_ctl *ctl, const char **args, int count);
};

BRF_BEGIN_DECLS

/* All commands, in the order of the help; static. */
const struct brf_ctl_command *brf_ctl_commands(size_t *count);

/**
 * brf_ctl_find_command() - find the command named by the first words.
 * @words: set to the number of words in the name; 0 if none is found
 *
 * Return: a static command; NULL if none matches.
 */
const struct brf_ctl_command *brf_ctl_find_command(
    const char **argv, int argc, int *words);

struct brf_ctl *brf_ctl_new(const struct brf_ctl_options *options);
void brf_ctl_free(struct brf_ctl *ctl);

/* Run the loop and the timers until @done is set by a callback. */
void brf_ctl_run_until(struct brf_ctl *ctl, const bool *done);

/**
 * brf_ctl_parse_address() - parse "host:port" or "[host]:port".
 *
 * The host is an IP address or "localhost".  No names are resolved.
 *
 * Return: false with BRF_E_ADDRESS if @text is not valid.
 */
bool brf_ctl_parse_address(
    const char *text, struct sockaddr_storage *addr, struct brf_error *err);

/**
 * brf_ctl_get() - GET a page of the node in the options and parse it as JSON.
 *
 * Return: the page, to be freed with json_decref(); NULL with @err on failure.
 */
json_t *brf_ctl_get(
    struct brf_ctl *ctl, const char *path, struct brf_error *err);

/**
 * struct brf_ctl_node_page - a page of one node.
 * @addr: the node's admin HTTP server
 * @name: @addr as text
 * @json: NULL if the node did not respond with JSON
 */
struct brf_ctl_node_page {
	struct sockaddr_storage addr;
	char name[64];
	json_t *json;
};

/**
 * brf_ctl_fetch_members() - get the admin addresses of all members.
 * @count: set to the number of pages
 *
 * The list is that of the node in the options.  Members in state "gone" are
 * left out.
 *
 * Return: @count pages without JSON, to be freed with
 * brf_ctl_node_pages_free(); NULL with @err on failure.
 */
struct brf_ctl_node_page *brf_ctl_fetch_members(
    struct brf_ctl *ctl, size_t *count, struct brf_error *err);
void brf_ctl_node_pages_free(struct brf_ctl_node_page *pages, size_t count);

/* GET @path from each node, a limited number at a time, and fill in @json. */
void brf_ctl_get_all(struct brf_ctl *ctl, const char *path,
    struct brf_ctl_node_page *pages, size_t count);

/**
 * brf_ctl_call_store() - make one call to the store and wait for its end.
 * @answer: filled on success, to be freed with brf_store_response_free()
 *
 * Return: false with @err unless the outcome is BRF_STORE_DONE.
 */
bool brf_ctl_call_store(struct brf_ctl *ctl,
    const struct brf_store_request *request, struct brf_store_response *answer,
    struct brf_error *err);

/**
 * brf_ctl_open_store() - create the client for the store in the options.
 *
 * Does nothing if the client exists.
 *
 * Return: false with @err if the option is missing or not valid.
 */
bool brf_ctl_open_store(struct brf_ctl *ctl, struct brf_error *err);

/**
 * brf_ctl_fail() - print @err to standard error, and with --json to standard
 * output as well.
 *
 * Return: the exit code for the error.
 */
int brf_ctl_fail(const struct brf_ctl *ctl, const struct brf_error *err);

/* Print @json as one line; takes ownership of it. */
void brf_ctl_print_json(json_t *json);

BRF_END_DECLS

#endif
