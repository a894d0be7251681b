#include <arpa/inet.h>
#include <fcntl.h>
#include <stdlib.h>
#include <unistd.h>

#include "bulrushford.h"
#include "http/server.h"

/**
 * DOC: Bytes of a caller against the HTTP server, over a loopback socket.
 *
 * The first byte of the input chooses what the handler does: answer, hold the
 * request until its caller has gone, hold and answer it about then, or abort.
 * It fails when the handler is shown a message beyond the bounds, or isn't told
 * of a caller that left.
 */

#define TURNS_MAX 10000
#define HELD_MAX 1024

static uv_loop_t loop;
static struct brf_http_server *server;
static uint16_t port;
static unsigned mode;
static struct brf_http_request *held[HELD_MAX];
static unsigned held_count;

enum {
	MODE_HOLD,
	MODE_ABORT,
	MODE_ANSWER,
	MODE_ANSWER_LATE,
	MODES
};

static void
check_message(const struct brf_message *m)
{
	const char *p;

	if (m->method[0] == '\0' || m->path[0] != '/' ||
	    strlen(m->path) > BRF_PATH_MAX || m->body.len > BRF_BODY_MAX ||
	    m->header_count > BRF_HEADERS_MAX ||
	    m->header_bytes > BRF_HEADER_BYTES_MAX)
		abort();
	for (p = m->path; *p != '\0'; p++) {
		if (*p <= ' ' || *p > '~')
			abort();
	}
}

static void
respond(struct brf_http_request *request)
{
	struct brf_message *answer = brf_message_new();

	answer->status = 200;
	brf_buf_puts(&answer->body, "answer");
	brf_http_respond(request, answer, NULL, 0);
	brf_message_unref(answer);
}

static void
handle(struct brf_http_handler *handler, struct brf_http_request *request)
{
	check_message(brf_http_request_message(request));
	if (mode % MODES == MODE_ABORT)
		brf_http_abort(request);
	else if (mode % MODES == MODE_ANSWER || held_count == HELD_MAX)
		respond(request);
	else
		held[held_count++] = request;
}

static void
disconnected(struct brf_http_handler *handler, struct brf_http_request *request)
{
	unsigned i;

	for (i = 0; i < held_count && held[i] != request; i++)
		;
	if (i == held_count)
		abort();
	held[i] = held[--held_count];
}

static const struct brf_http_handler_vt handler_vt = {
	.handle = handle,
	.disconnected = disconnected,
};

static void
set_up(void)
{
	static struct brf_http_handler handler = { .vt = &handler_vt };
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	uv_loop_init(&loop);
	server = brf_http_server_new(
	    brf_http_loop_new(
		&loop, brf_timers_new(brf_clock_system()), brf_metrics_new()),
	    "fuzz", (const struct sockaddr *)&addr, &handler, &port, NULL);
	if (server == NULL)
		abort();
}

static int
connect_to_server(void)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd == -1 ||
	    connect(fd, (const struct sockaddr *)&addr, sizeof(addr)) != 0)
		abort();
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return (fd);
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
	/* a reset leaves no port in TIME_WAIT behind */
	struct linger reset = { .l_onoff = 1 };
	char sink[4096];
	int fd, i;

	if (size == 0)
		return (0);
	if (server == NULL)
		set_up();
	mode = data[0];
	fd = connect_to_server();
	(void)send(fd, data + 1, size - 1, MSG_NOSIGNAL);
	turn(4);
	while (recv(fd, sink, sizeof(sink), 0) > 0)
		;
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	turn((int)(mode / MODES % 4));
	while (mode % MODES == MODE_ANSWER_LATE && held_count != 0)
		respond(held[--held_count]);
	for (i = 0; i < TURNS_MAX; i++) {
		turn(1);
		if (brf_http_server_connections(server) == 0 && held_count == 0)
			return (0);
	}
	abort();
}
