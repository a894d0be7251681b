#ifndef BRF_FLOW_FAKE_H
#define BRF_FLOW_FAKE_H

#include <gtest/gtest.h>

#include "flow/server.h"
#include "flow/scheduler.h"
#include "http_fake.h"

/* A loop with its scheduler, run by the test one iteration at a time. */
struct flow_bench {
	uv_loop_t loop;
	struct brf_scheduler scheduler;
	struct brf_metrics *metrics;

	flow_bench()
	{
		uv_loop_init(&loop);
		brf_scheduler_init(&scheduler, &loop);
		metrics = brf_metrics_new();
	}

	/* Run the loop until @done; false after 50000 iterations. */
	bool
	until(const std::function<bool()> &done)
	{
		for (int i = 0; i < 50000; i++) {
			if (done())
				return (true);
			uv_run(&loop, UV_RUN_NOWAIT);
			if (i % 4 == 3)
				usleep(200);
		}
		return (done());
	}

	void
	turns(int times)
	{
		until([&] { return (times-- <= 0); });
	}

	/* Wait for wall-clock time to pass; tests make no assertion on it. */
	void
	pause(unsigned ms)
	{
		uint64_t end = uv_hrtime() + ms * 1000000ull;

		until([&] { return (uv_hrtime() >= end); });
	}

	~flow_bench()
	{
		brf_scheduler_close(&scheduler);
		until([&] { return (uv_loop_alive(&loop) == 0); });
		EXPECT_EQ(uv_loop_close(&loop), 0);
		brf_scheduler_free(&scheduler);
		brf_metrics_free(metrics);
	}
};

/* Clock of the bench that the test moves forward. */
struct moved_clock {
	static inline uint64_t moved_us;
	static inline const struct brf_clock_vt *original;
	struct flow_bench &bench;

	static uint64_t
	now(struct brf_clock *clock)
	{
		return (original->now(clock) + moved_us);
	}

	explicit moved_clock(struct flow_bench &bench) : bench(bench)
	{
		static const struct brf_clock_vt vt = { now };

		moved_us = 0;
		original = bench.scheduler.clock.vt;
		bench.scheduler.clock.vt = &vt;
	}

	void
	move(uint64_t us)
	{
		moved_us += us;
		brf_timers_run(bench.scheduler.timers);
		bench.turns(20);
	}

	~moved_clock()
	{
		bench.scheduler.clock.vt = original;
	}
};

static const struct brf_field_names test_names = {
	"x-id",
	"x-timeout",
	"x-target",
	"x-caller",
	"x-seal",
	"x-not-run",
	"x-instance",
	"x-limit",
	"x-leaving",
};

/* A listener whose connections the test reads and writes as raw bytes. */
struct raw_listener {
	int fd;
	uint16_t port;
	std::vector<raw_peer *> peers;

	raw_listener()
	{
		struct sockaddr_in addr = loopback(0);
		socklen_t len = sizeof(addr);

		fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		EXPECT_EQ(bind(fd, (struct sockaddr *)&addr, len), 0);
		EXPECT_EQ(listen(fd, 64), 0);
		getsockname(fd, (struct sockaddr *)&addr, &len);
		port = ntohs(addr.sin_port);
	}

	/* Accept new connections, and read from all of them. */
	void
	serve()
	{
		int c;

		while (
		    (c = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK)) >= 0) {
			peers.push_back(new raw_peer());
			peers.back()->fd = c;
		}
		for (auto *p : peers)
			p->get();
	}

	size_t
	requests() const
	{
		size_t n = 0;

		for (const auto *p : peers)
			for (size_t at = 0; (at = p->got.find("\r\n\r\n",
						 at)) != std::string::npos;
			     at += 4)
				n++;
		return (n);
	}

	/* The connection that has received @text, or NULL. */
	raw_peer *
	with(const std::string &text)
	{
		for (auto *p : peers)
			if (p->got.find(text) != std::string::npos)
				return (p);
		return (nullptr);
	}

	~raw_listener()
	{
		for (auto *p : peers)
			delete p;
		close(fd);
	}
};

/* Have the kernel reset the connection when @p is dropped. */
static inline void
reset_on_drop(raw_peer &p)
{
	struct linger reset = { 1, 0 };

	setsockopt(p.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

#endif
