#ifndef BRF_MESH_HINTS_H
#define BRF_MESH_HINTS_H

#include "fleet/directory.h"
#include "link/link.h"

/**
 * DOC: Exchange of known targets between nodes.
 *
 * A node that has not read all targets from the store yet asks its peers for
 * the targets that they know.  This module connects the links, which carry
 * the messages, to the directory, which holds the targets.
 */

/**
 * struct brf_mesh_hints - initialise with brf_mesh_hints_init().
 * @hints: interface that the links call
 * @directory: directory to read and fill; NULL while the node has none, which
 *	makes the node neither ask for targets nor report any
 */
struct brf_mesh_hints {
	struct brf_link_targets_handler hints;
	struct brf_directory *directory;
};

BRF_BEGIN_DECLS

void brf_mesh_hints_init(struct brf_mesh_hints *h);

BRF_END_DECLS

#endif
