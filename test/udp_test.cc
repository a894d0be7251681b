#include <gtest/gtest.h>

#include <arpa/inet.h>

#include "member/udp.h"

/* The membership code sends until the process ends, also while the socket is
 * being closed; libuv would then open a new socket for the handle. */
TEST(udp, datagrams_sent_after_close_are_dropped)
{
	struct brf_metrics *metrics = brf_metrics_new();
	struct sockaddr_in addr = {}, bound = {};
	struct brf_error err = {};
	bool closed = false;
	uv_loop_t loop;

	uv_loop_init(&loop);
	addr.sin_family = AF_INET;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	struct brf_udp *u = brf_udp_new(&loop, metrics, &addr, &bound, &err);
	ASSERT_NE(u, nullptr);
	struct brf_datagrams *d = brf_udp_datagrams(u);

	brf_udp_close(
	    u, [](void *arg) { *static_cast<bool *>(arg) = true; }, &closed);
	d->vt->send(d, &bound, "data", 4);
	uv_run(&loop, UV_RUN_DEFAULT);
	EXPECT_TRUE(closed);
	d->vt->send(d, &bound, "data", 4);
	uv_run(&loop, UV_RUN_DEFAULT);
	brf_udp_free(u);
	EXPECT_EQ(uv_loop_close(&loop), 0);
	EXPECT_EQ(
	    brf_metrics_counter(metrics, "brf_datagrams_unsent_total", "", "")
		->value,
	    2);
	brf_metrics_free(metrics);
}
