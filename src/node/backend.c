#include <arpa/inet.h>

#include "node/backend.h"

struct brf_backend *
brf_member_backend(struct brf_peers *peers, const struct brf_member *member)
{
	struct sockaddr_in addr = member->addr;

	addr.sin_port = htons(member->rpc_port);
	return (brf_peers_backend(
	    peers, (const struct sockaddr *)&addr, member->node));
}
