#ifndef BRF_MESH_SETTINGS_H
#define BRF_MESH_SETTINGS_H

#include <netinet/in.h>

#include "base/buf.h"
#include "base/log.h"
#include "bulrushford.h"

/**
 * DOC: Settings of bulrushford-node.
 *
 * They are read from a file of lines NAME=value, in the manner of environment
 * files.  Blank lines and lines that begin with '#' are skipped.  Unknown names
 * are logged and otherwise ignored, since a platform may provide settings that
 * this version does not know.
 */

#define BRF_MESH_NODE_MAX 63u /* bytes of a node's name */

/**
 * struct brf_mesh_settings - checked settings; durations in microseconds.
 * @node: name of this node, in log lines and in entries in the store
 * @zone: availability zone of this VM
 * @region: region of the zone
 * @service: service of this VM's target
 * @callers: where to accept HTTP requests of callers on this VM and of its
 *	target
 * @ready: where to answer the platform's readiness checks, over HTTP
 * @admin: where to accept the target's announcements and to serve metrics,
 *	over HTTP
 * @peers: where to accept links from other nodes
 * @advertised: address at which other nodes reach this one; port 0 stands for
 *	@peers
 * @target: address of this VM's target
 * @store: address of the platform's store
 * @grace_us: time from the signal to stop until the platform kills the process
 * @drain_us: longest time until a leaving target gets no new work from any
 *	node
 * @retry_ratio: bound on the arrivals beyond the first at a service, from the
 *	whole fleet, per request
 * @retry_window_us: window over which @retry_ratio holds
 * @log_level: lowest level that is logged
 */
struct brf_mesh_settings {
	char node[BRF_MESH_NODE_MAX + 1];
	char zone[BRF_NAME_MAX + 1];
	char region[BRF_NAME_MAX + 1];
	char service[BRF_NAME_MAX + 1];
	struct sockaddr_in callers;
	struct sockaddr_in ready;
	struct sockaddr_in admin;
	struct sockaddr_in peers;
	struct sockaddr_in advertised;
	struct sockaddr_in target;
	struct sockaddr_in store;
	uint64_t grace_us;
	uint64_t drain_us;
	double retry_ratio;
	uint64_t retry_window_us;
	enum brf_log_level log_level;
};

BRF_BEGIN_DECLS

/**
 * brf_mesh_settings_parse() - parse the text of a settings file.
 * @s: filled; settings that are not given get their defaults
 *
 * Return: true, or false with BRF_E_SETTING_MISSING or BRF_E_SETTING_INVALID.
 */
bool brf_mesh_settings_parse(struct brf_mesh_settings *s, const char *text,
    size_t len, struct brf_error *err);

/**
 * brf_mesh_settings_load() - read and parse the file at @path, of which the
 * first 65535 bytes count.
 *
 * Return: true, or false with BRF_E_SYSTEM when the file can't be read, or
 * with an error of brf_mesh_settings_parse().
 */
bool brf_mesh_settings_load(
    struct brf_mesh_settings *s, const char *path, struct brf_error *err);

/* Append name, description and default of each setting to @out, for --help. */
void brf_mesh_settings_describe(struct brf_buf *out);

BRF_END_DECLS

#endif
