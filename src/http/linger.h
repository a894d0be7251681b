#ifndef BRF_HTTP_LINGER_H
#define BRF_HTTP_LINGER_H

#include "base/list.h"
#include "http/loop.h"

/**
 * DOC: Lingering close of connections (RFC 9112, section 9.6).
 *
 * Closing a socket while the client still sends resets the connection, and the
 * kernel drops what it has not delivered of the last answer.  So the sending
 * side is shut down, and what the client still sends is read and discarded,
 * until the client closes or has had LINGER_US to do so after it received
 * everything.  A client that stops reading is bounded by TCP_USER_TIMEOUT.  For
 * src/http only.
 */

/**
 * struct brf_http_lingers - the connections of one server that linger.
 * @ended: called after each of them is closed
 */
struct brf_http_lingers {
	struct brf_http_loop *hl;
	struct brf_list list;
	size_t count;
	void (*ended)(struct brf_http_lingers *lingers);
};

BRF_BEGIN_DECLS

void brf_http_lingers_init(struct brf_http_lingers *lingers,
    struct brf_http_loop *hl, void (*ended)(struct brf_http_lingers *lingers));

/* Linger on @fd, which is closed at the end. */
void brf_http_linger_start(struct brf_http_lingers *lingers, int fd);

/* Close all of them now; @ended is called later for each. */
void brf_http_lingers_close(struct brf_http_lingers *lingers);

BRF_END_DECLS

#endif
