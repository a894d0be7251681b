#ifndef BRF_MESH_HINTS_H
#define BRF_MESH_HINTS_H

#include "fleet/directory.h"
#include "link/link.h"

/**
 * DOC: Targets that nodes tell each other, for those that have not read the
 * store.
 */

/**
 * struct brf_mesh_hints - between links and directory.
 * @directory: NULL until there is one
 */
struct brf_mesh_hints {
	struct brf_link_targets_handler hints;
	struct brf_directory *directory;
};

BRF_BEGIN_DECLS

void brf_mesh_hints_init(struct brf_mesh_hints *h);

BRF_END_DECLS

#endif
