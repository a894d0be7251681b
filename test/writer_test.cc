#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "flow_fake.h"
#include "flow/writer.h"

namespace
{

const size_t PART = 65536;
const size_t TOTAL = 64 * PART;

/* Adds parts until the writer is full, and again each time it has drained. */
struct a_writer : public testing::Test {
	uv_loop_t loop;
	uv_pipe_t stream;
	struct brf_writer w;
	int peer_fd = -1;
	size_t added = 0, received = 0;

	void
	SetUp() override
	{
		int fds[2];

		signal(SIGPIPE, SIG_IGN);
		ASSERT_EQ(0, socketpair(AF_UNIX, SOCK_STREAM, 0, fds));
		peer_fd = fds[1];
		uv_loop_init(&loop);
		uv_pipe_init(&loop, &stream, 0);
		stream.data = this;
		ASSERT_EQ(0, uv_pipe_open(&stream, fds[0]));
		brf_writer_init(&w, (uv_stream_t *)&stream, drained);
	}

	void
	TearDown() override
	{
		uv_close((uv_handle_t *)&stream, NULL);
		uv_run(&loop, UV_RUN_DEFAULT);
		brf_writer_free(&w);
		uv_loop_close(&loop);
		close(peer_fd);
	}

	void
	pump()
	{
		std::string part(PART, 'x');

		while (added < TOTAL && !brf_writer_full(&w)) {
			brf_buf_add(&w.out, part.data(), part.size());
			added += PART;
		}
		ASSERT_EQ(0, brf_writer_flush(&w));
	}

	static void
	drained(struct brf_writer *w, int status)
	{
		ASSERT_EQ(0, status);
		((struct a_writer *)w->stream->data)->pump();
	}

	void
	read_all()
	{
		char buf[PART];
		ssize_t n;

		while ((n = recv(peer_fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
			received += (size_t)n;
	}
};

TEST_F(a_writer, is_full_only_while_a_write_waits)
{
	while (added < TOTAL && !brf_writer_full(&w))
		pump();
	EXPECT_TRUE(w.busy);
	read_all();
	for (int i = 0; i < 1000 && received < TOTAL; i++) {
		uv_run(&loop, UV_RUN_NOWAIT);
		ASSERT_TRUE(w.busy || !brf_writer_full(&w))
		    << "full, but no write is waiting to call drained";
		read_all();
	}
	EXPECT_EQ(TOTAL, received);
}

TEST_F(a_writer, is_not_full_after_a_failure)
{
	std::string bytes(4 * BRF_WRITER_HIGH_WATER, 'x');

	close(peer_fd);
	peer_fd = -1;
	brf_buf_add(&w.out, bytes.data(), bytes.size());
	EXPECT_FALSE(brf_writer_full(&w));
	EXPECT_NE(0, brf_writer_flush(&w));
}

/* The socket tells its error to the first write only. */
TEST(writer, each_flush_after_a_failure_returns_the_first_error)
{
	struct flow_bench bench;
	struct raw_listener listener;
	struct raw_peer client;
	struct brf_writer w;
	uv_tcp_t tcp;
	std::string bytes(2 * BRF_WRITER_HIGH_WATER, 'x');

	client.connect_to(listener.port);
	ASSERT_TRUE(bench.until([&] {
		listener.serve();
		return (!listener.peers.empty());
	}));
	uv_tcp_init(&bench.loop, &tcp);
	ASSERT_EQ(uv_tcp_open(&tcp, client.fd), 0);
	client.fd = -1;
	brf_writer_init(&w, (uv_stream_t *)&tcp, nullptr);
	reset_on_drop(*listener.peers[0]);
	listener.peers[0]->drop();

	brf_buf_add(&w.out, bytes.data(), bytes.size());
	EXPECT_FALSE(brf_writer_full(&w));
	EXPECT_EQ(brf_writer_flush(&w), UV_ECONNRESET);
	EXPECT_EQ(brf_writer_flush(&w), UV_ECONNRESET);
	uv_close((uv_handle_t *)&tcp, nullptr);
	bench.turns(2);
	brf_writer_free(&w);
}

} // namespace
