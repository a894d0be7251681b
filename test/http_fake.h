#ifndef BRF_HTTP_FAKE_H
#define BRF_HTTP_FAKE_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/fetch.h"
#include "http/server.h"

/* A libuv loop that tests run step by step, with the state src/http needs. */
struct http_test_loop {
	uv_loop_t loop;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	struct brf_http_loop *hl;

	http_test_loop()
	{
		uv_loop_init(&loop);
		timers = brf_timers_new(brf_clock_system());
		metrics = brf_metrics_new();
		hl = brf_http_loop_new(&loop, timers, metrics);
	}

	/*
	 * Run iterations of the loop until @done returns true; return its
	 * last value, after at most 50000 iterations.
	 */
	bool
	run_loop_until(const std::function<bool()> &done)
	{
		for (int i = 0; i < 50000; i++) {
			if (done())
				return (true);
			brf_timers_run(timers);
			if (uv_run(&loop, UV_RUN_NOWAIT) == 0 || i % 4 == 3)
				usleep(200);
		}
		return (done());
	}

	void
	run_iterations(int times)
	{
		run_loop_until([&] { return (times-- <= 0); });
	}

	~http_test_loop()
	{
		brf_http_loop_free(hl);
		run_loop_until([&] { return (uv_loop_alive(&loop) == 0); });
		EXPECT_EQ(uv_loop_close(&loop), 0);
		brf_timers_free(timers);
		brf_metrics_free(metrics);
	}
};

static inline struct sockaddr_in
loopback(uint16_t port)
{
	struct sockaddr_in addr = {};

	addr.sin_family = AF_INET;
	addr.sin_port = htons(port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return (addr);
}

/* The other end of a connection; sends and receives raw bytes. */
struct raw_peer {
	int fd = -1;
	bool ended = false;
	std::string got;

	void
	connect_to(uint16_t port)
	{
		struct sockaddr_in addr = loopback(port);

		fd = socket(AF_INET, SOCK_STREAM, 0);
		ASSERT_EQ(
		    connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
		fcntl(fd, F_SETFL, O_NONBLOCK);
	}

	/* Send what fits in the socket buffer; return the rest. */
	std::string
	put(const std::string &bytes)
	{
		ssize_t n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);

		return (bytes.substr(n > 0 ? (size_t)n : 0));
	}

	/* Append all received bytes to @got. */
	void
	get()
	{
		char buf[65536];
		ssize_t n;

		if (fd == -1 || ended)
			return;
		while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
			got.append(buf, (size_t)n);
		ended = n == 0 || (n < 0 && errno != EAGAIN);
	}

	void
	drop()
	{
		if (fd != -1)
			close(fd);
		fd = -1;
	}

	~raw_peer()
	{
		drop();
	}
};

#endif
