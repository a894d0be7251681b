#ifndef BRF_HTTP_WATCH_H
#define BRF_HTTP_WATCH_H

#include "base/base.h"

/**
 * DOC: Detects that the peer closed a connection, without reading from it.
 *
 * libuv allows one handle per descriptor, and h2o uses that handle.  So the
 * connections are added to a separate epoll set, for EPOLLRDHUP only, and libuv
 * polls the descriptor of this set.  For src/http only.
 */

struct brf_http_loop;

/**
 * struct brf_http_watch - one watched connection; embedded in its owner, which
 * must stay valid until the loop iteration after the descriptor is closed.
 * @on_peer_close: called at most once, on the peer's FIN or RST
 */
struct brf_http_watch {
	void (*on_peer_close)(struct brf_http_watch *watch);
};

BRF_BEGIN_DECLS

void brf_http_watches_init(struct brf_http_loop *hl);
void brf_http_watches_close(struct brf_http_loop *hl);

/**
 * brf_http_watch_start() - watch the connection @fd.
 *
 * Return: false when the kernel can't add it to the epoll set.
 */
bool brf_http_watch_start(
    struct brf_http_loop *hl, struct brf_http_watch *watch, int fd);

/* End the watch of @fd, which may stay open in a copy. */
void brf_http_watch_stop(struct brf_http_loop *hl, int fd);

BRF_END_DECLS

#endif
