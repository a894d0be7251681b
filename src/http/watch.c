#include <sys/epoll.h>
#include <unistd.h>

#include "base/log.h"
#include "http/loop.h"
#include "http/watch.h"

#define EVENTS_MAX 64

static void
on_readable(uv_poll_t *poll, int status, int events)
{
	struct brf_http_loop *hl = poll->data;
	struct epoll_event ready[EVENTS_MAX];
	struct brf_http_watch *watch;
	int i, n;

	n = epoll_wait(hl->watch_fd, ready, EVENTS_MAX, 0);
	for (i = 0; i < n; i++) {
		watch = ready[i].data.ptr;
		watch->on_peer_close(watch);
	}
}

void
brf_http_watches_init(struct brf_http_loop *hl)
{
	struct brf_error err;

	hl->watch_fd = epoll_create1(EPOLL_CLOEXEC);
	if (hl->watch_fd == -1 ||
	    uv_poll_init(hl->loop, &hl->watches, hl->watch_fd) != 0) {
		brf_error_set(&err, BRF_E_SYSTEM, 0, "epoll_create1");
		brf_log(BRF_LOG_ERROR, "watch_failed", BRF_LE(&err));
		return;
	}
	hl->watches.data = hl;
	uv_poll_start(&hl->watches, UV_READABLE, on_readable);
	uv_unref((uv_handle_t *)&hl->watches);
}

void
brf_http_watches_close(struct brf_http_loop *hl)
{
	if (hl->watches.data != NULL)
		uv_close((uv_handle_t *)&hl->watches, NULL);
	if (hl->watch_fd != -1)
		close(hl->watch_fd);
}

bool
brf_http_watch_start(
    struct brf_http_loop *hl, struct brf_http_watch *watch, int fd)
{
	/* edge-triggered, so that a close is reported once */
	struct epoll_event event = {
		.events = EPOLLRDHUP | EPOLLET,
		.data.ptr = watch,
	};

	return (epoll_ctl(hl->watch_fd, EPOLL_CTL_ADD, fd, &event) == 0);
}

void
brf_http_watch_stop(struct brf_http_loop *hl, int fd)
{
	epoll_ctl(hl->watch_fd, EPOLL_CTL_DEL, fd, NULL);
}
