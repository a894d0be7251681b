#include <linux/sockios.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/tcp.h"
#include "http/linger.h"

#define LINGER_US BRF_US_PER_S /* for a client to close */

struct linger_conn {
	uv_tcp_t tcp;
	struct brf_timer timer;
	struct brf_list link;
	struct brf_http_lingers *lingers;
};

static void
on_closed(uv_handle_t *handle)
{
	struct linger_conn *c =
	    brf_container_of(handle, struct linger_conn, tcp);
	struct brf_http_lingers *lingers = c->lingers;

	free(c);
	lingers->count--;
	lingers->ended(lingers);
}

static void
close_conn(struct linger_conn *c)
{
	if (uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	brf_timer_stop(c->lingers->hl->timers, &c->timer);
	brf_list_remove(&c->link);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	(void)buf;
	if (n < 0)
		close_conn(brf_container_of(stream, struct linger_conn, tcp));
}

/* Whether the client has not acknowledged all bytes. */
static bool
has_unacked(const struct linger_conn *c)
{
	uv_os_fd_t fd;
	int bytes;

	return (uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0 &&
		ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes != 0);
}

static void
on_timer(struct brf_timer *timer, void *arg)
{
	struct linger_conn *c = arg;

	if (has_unacked(c))
		brf_timer_start(c->lingers->hl->timers, timer, LINGER_US);
	else
		close_conn(c);
}

void
brf_http_lingers_init(struct brf_http_lingers *lingers,
    struct brf_http_loop *hl, void (*ended)(struct brf_http_lingers *lingers))
{
	lingers->hl = hl;
	lingers->count = 0;
	lingers->ended = ended;
	brf_list_init(&lingers->list);
}

void
brf_http_linger_start(struct brf_http_lingers *lingers, int fd)
{
	struct linger_conn *c = brf_calloc(1, sizeof(*c));

	c->lingers = lingers;
	c->timer = (struct brf_timer){ .fire = on_timer, .arg = c };
	brf_list_append(&lingers->list, &c->link);
	lingers->count++;
	uv_tcp_init(lingers->hl->loop, &c->tcp);
	if (uv_tcp_open(&c->tcp, fd) != 0) {
		close(fd);
		close_conn(c);
		return;
	}
	shutdown(fd, SHUT_WR);
	brf_timer_start(lingers->hl->timers, &c->timer, LINGER_US);
	if (uv_read_start((uv_stream_t *)&c->tcp, brf_tcp_alloc, on_read) != 0)
		close_conn(c);
}

void
brf_http_lingers_close(struct brf_http_lingers *lingers)
{
	while (!brf_list_empty(&lingers->list))
		close_conn(brf_list_entry(
		    lingers->list.next, struct linger_conn, link));
}
