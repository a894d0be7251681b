#include <arpa/inet.h>
#include <fcntl.h>
#include <stdlib.h>
#include <unistd.h>

#include "bulrushford.h"
#include "http/client.h"
#include "http/server.h"

/**
 * DOC: Bytes of a target against the client, over a loopback socket.
 *
 * The input is sent in two parts, cut where its first byte says, and the
 * connection is closed behind it; with the top bit of that byte the run is
 * cancelled between them.  It fails when a run does not end exactly
 * once, or an answer goes beyond the bounds.
 */

#define TURNS_MAX 10000
#define CANCEL 0x80u

static uv_loop_t loop;
static struct brf_target *target;
static struct brf_message *request;
static int listener;
static unsigned ends;

static void
done(struct brf_run *run, enum brf_run_end end, struct brf_message *answer)
{
	ends++;
	if ((answer != NULL) != (end == BRF_RUN_ANSWERED))
		abort();
	if (answer == NULL)
		return;
	if (answer->status < 200 || answer->status > 599 ||
	    answer->body.len > BRF_BODY_MAX ||
	    answer->header_count > BRF_HEADERS_MAX ||
	    answer->header_bytes > BRF_HEADER_BYTES_MAX)
		abort();
}

static void
set_up(void)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(addr);

	listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (bind(listener, (struct sockaddr *)&addr, len) != 0 ||
	    listen(listener, 16) != 0 ||
	    getsockname(listener, (struct sockaddr *)&addr, &len) != 0)
		abort();
	uv_loop_init(&loop);
	target = brf_http_target_new(
	    brf_http_loop_new(
		&loop, brf_timers_new(brf_clock_system()), brf_metrics_new()),
	    ntohs(addr.sin_port), 4);
	request = brf_message_new();
	brf_copy_name(request->method, sizeof(request->method), "GET");
	brf_message_set_path(request, "/", 1, NULL);
}

static void
turn(int times)
{
	while (times-- > 0)
		uv_run(&loop, UV_RUN_NOWAIT);
}

/* NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct brf_run run = { .done = done };
	struct linger reset = { .l_onoff = 1 };
	int fd = -1, i;
	size_t cut;

	if (size == 0)
		return (0);
	if (target == NULL)
		set_up();
	ends = 0;
	run.request = request;
	brf_target_run(target, &run);
	for (i = 0; i < TURNS_MAX && fd == -1; i++) {
		turn(1);
		fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
	}
	if (fd == -1)
		abort();
	cut = data[0] % CANCEL;
	cut = cut < size ? cut : size;
	(void)send(fd, data + 1, cut != 0 ? cut - 1 : 0, MSG_NOSIGNAL);
	turn(2);
	if ((data[0] & CANCEL) != 0)
		brf_target_cancel(target, &run);
	if (cut != 0)
		(void)send(fd, data + cut, size - cut, MSG_NOSIGNAL);
	shutdown(fd, SHUT_WR);
	for (i = 0; i < TURNS_MAX && ends == 0; i++)
		turn(1);
	turn(1);
	if (ends != 1)
		abort();
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	turn(2);
	return (0);
}
