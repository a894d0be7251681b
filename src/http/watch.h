#ifndef BRF_HTTP_WATCH_H
#define BRF_HTTP_WATCH_H

#include "base/base.h"

/**
 * DOC: Notices that the peer of a connection has closed it, without reading.
 *
 * libuv polls a descriptor for one handle only, and h2o has that one.  So the
 * connections stand in an epoll set of their own, for the end of the peer's
 * stream alone (EPOLLRDHUP), and libuv polls that set.  A connection leaves
 * it when its descriptor is closed.  For src/http only.
 */

struct brf_http_loop;

/**
 * struct brf_http_watch - one watched connection; embedded by its owner, who
 * keeps it at least until the turn of the loop after the descriptor's close.
 * @ended: called once at most, on the peer's FIN or RST
 */
struct brf_http_watch {
	void (*ended)(struct brf_http_watch *watch);
};

BRF_BEGIN_DECLS

void brf_http_watches_init(struct brf_http_loop *hl);
void brf_http_watches_close(struct brf_http_loop *hl);

/**
 * brf_http_watch_start() - watch the connection @fd.
 *
 * Return: false when the system has no room for it.
 */
bool brf_http_watch_start(
    struct brf_http_loop *hl, struct brf_http_watch *watch, int fd);

BRF_END_DECLS

#endif
