#ifndef BRF_MESH_SETTINGS_H
#define BRF_MESH_SETTINGS_H

#include <netinet/in.h>

#include "base/buf.h"
#include "base/log.h"
#include "bulrushford.h"

/**
 * DOC: Settings of bulrushford-node.
 *
 * From a file of lines NAME=value, as environment files have them; blank lines
 * and lines that begin with '#' are skipped, unknown names are logged and left
 * alone, since a platform may fill in more than this version knows.
 */

#define BRF_MESH_NODE_MAX 63u /* bytes of a node's name */

/**
 * struct brf_mesh_settings - checked settings.
 * @node: name of this node, in logs and entries
 * @zone: availability zone of this VM
 * @region: of the zone
 * @service: what this VM's target serves
 * @callers: HTTP for callers on this VM and for its target's calls
 * @ready: HTTP for the platform's question whether this node takes work
 * @admin: HTTP for the target's announcements, and metrics
 * @peers: links from other nodes
 * @advertised: where they reach it; port 0 for @peers
 * @target: address of this VM's target
 * @store: the platform's store
 * @grace_us: from the signal to stop until the process is ended by force
 * @drain_us: within which a leaving target gets no new work anywhere
 * @retry_ratio: arrivals beyond the first of each request, per request, that
 *	a service may get from the whole fleet
 * @retry_window_us: span of time over which that holds
 * @log_level: least level that is logged
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
 * brf_mesh_settings_parse() - read the text of a settings file.
 *
 * Return: false with BRF_E_SETTING_MISSING or BRF_E_SETTING_INVALID.
 */
bool brf_mesh_settings_parse(struct brf_mesh_settings *s, const char *text,
    size_t len, struct brf_error *err);

/**
 * brf_mesh_settings_load() - read the file at @path.
 *
 * Return: false with BRF_E_SYSTEM besides.
 */
bool brf_mesh_settings_load(
    struct brf_mesh_settings *s, const char *path, struct brf_error *err);

/* Append the names, units and presets of all settings, for --help. */
void brf_mesh_settings_describe(struct brf_buf *out);

BRF_END_DECLS

#endif
