#ifndef BRF_KINSHIP_H
#define BRF_KINSHIP_H

#include "flow/server.h"

/**
 * DOC: Telling the calls of running requests from requests that begin.
 *
 * Load it answers: a target's own calls and the requests of callers on its VM
 * come to one listener, and calls bear no name of their parent.  A call ends
 * when its parent does, so a request whose deadline is that of a running one
 * is likely its call; but a call may have a shorter time of its own, and two
 * deadlines may be alike by chance.  Connections belong to one or the other,
 * and so do most routes, so what was seen of them decides.
 */

/**
 * struct brf_kinship - of one route; a zeroed struct has seen nothing.
 * @share: of its requests that had a running request's deadline; fades
 */
struct brf_kinship {
	double share;
};

BRF_BEGIN_DECLS

/**
 * brf_kinship_judge() - a request has come.
 * @origin: its connection
 * @matched: its deadline is that of a running request
 *
 * Return: whether it is taken for a running request's call.
 */
bool brf_kinship_judge(
    struct brf_kinship *k, struct brf_flow_origin *origin, bool matched);

BRF_END_DECLS

#endif
