#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdlib.h>

#include "base/tcp.h"

void
brf_tcp_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char shared[BRF_TCP_READ];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(shared, sizeof(shared));
}

void
brf_tcp_bound_unacked(const uv_tcp_t *tcp, unsigned ms)
{
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) == 0)
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

bool
brf_tcp_parse(const char *text, struct sockaddr_in *addr)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN], *end;
	long port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		return (false);
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_port = htons((uint16_t)port);
	return (colon[1] != '\0' && *end == '\0' && port >= 0 &&
		port <= UINT16_MAX &&
		inet_pton(AF_INET, host, &addr->sin_addr) == 1);
}
