#include <gtest/gtest.h>

#include <jansson.h>
#include <uv.h>

#include <sys/wait.h>

#include <cstdlib>
#include <string>
#include <vector>

namespace
{

/* A server of one loop that gives the same bytes to each request, and the
 * generator as its child. */
class load : public ::testing::Test
{
      protected:
	struct peer {
		uv_tcp_t tcp;
		class load *test;
		std::string in;
	};

	uv_loop_t loop;
	uv_tcp_t listener;
	uv_pipe_t out;
	uv_process_t child;
	std::string reply;
	bool close_after = false;
	std::string first_request;
	size_t requests = 0;
	std::string text;
	int64_t exit_code = -1;

	static void
	alloc(uv_handle_t *, size_t, uv_buf_t *buf)
	{
		static char bytes[65536];

		*buf = uv_buf_init(bytes, sizeof(bytes));
	}

	static void
	closed(uv_handle_t *h)
	{
		delete (peer *)h->data;
	}

	static void
	on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
	{
		auto *p = (peer *)s->data;

		if (n < 0) {
			uv_close((uv_handle_t *)s, closed);
			return;
		}
		p->in.append(buf->base, (size_t)n);
		if (p->in.find("\r\n\r\n") != std::string::npos)
			p->test->answer(p);
	}

	void
	answer(peer *p)
	{
		uv_buf_t buf = uv_buf_init(&reply[0], (unsigned)reply.size());

		requests++;
		if (first_request.empty())
			first_request = p->in;
		p->in.clear();
		if (!reply.empty())
			uv_try_write((uv_stream_t *)&p->tcp, &buf, 1);
		if (close_after)
			uv_close((uv_handle_t *)&p->tcp, closed);
	}

	static void
	on_connection(uv_stream_t *l, int)
	{
		auto *p = new peer;

		p->test = (class load *)l->data;
		uv_tcp_init(l->loop, &p->tcp);
		p->tcp.data = p;
		uv_accept(l, (uv_stream_t *)&p->tcp);
		uv_read_start((uv_stream_t *)&p->tcp, alloc, on_read);
	}

	static void
	on_output(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
	{
		if (n < 0)
			uv_close((uv_handle_t *)s, nullptr);
		else
			((class load *)s->data)
			    ->text.append(buf->base, (size_t)n);
	}

	static void
	on_exit(uv_process_t *child, int64_t status, int)
	{
		auto *t = (class load *)child->data;

		t->exit_code = status;
		uv_close((uv_handle_t *)child, nullptr);
		uv_close((uv_handle_t *)&t->listener, nullptr);
	}

	/* Return: the report, or NULL when the generator failed. */
	json_t *
	run(std::vector<std::string> args)
	{
		const char *bin = getenv("BRF_BIN");
		std::string program =
		    std::string(bin != nullptr ? bin : "build/rel/bin") +
		    "/brf-load";
		std::vector<char *> argv = { &program[0] };
		uv_process_options_t options = {};
		uv_stdio_container_t stdio[3] = {};
		struct sockaddr_in addr;
		int len = sizeof(addr);

		uv_loop_init(&loop);
		uv_tcp_init(&loop, &listener);
		listener.data = this;
		uv_ip4_addr("127.0.0.1", 0, &addr);
		uv_tcp_bind(&listener, (struct sockaddr *)&addr, 0);
		uv_listen((uv_stream_t *)&listener, 64, on_connection);
		uv_tcp_getsockname(&listener, (struct sockaddr *)&addr, &len);
		args.push_back(
		    "--to=127.0.0.1:" + std::to_string(ntohs(addr.sin_port)));
		for (auto &a : args)
			argv.push_back(&a[0]);
		argv.push_back(nullptr);
		uv_pipe_init(&loop, &out, 0);
		out.data = this;
		stdio[1].flags =
		    (uv_stdio_flags)(UV_CREATE_PIPE | UV_WRITABLE_PIPE);
		stdio[1].data.stream = (uv_stream_t *)&out;
		options.file = program.c_str();
		options.args = argv.data();
		options.stdio = stdio;
		options.stdio_count = 3;
		options.exit_cb = on_exit;
		child.data = this;
		EXPECT_EQ(uv_spawn(&loop, &child, &options), 0);
		uv_read_start((uv_stream_t *)&out, alloc, on_output);
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
		EXPECT_EQ(exit_code, 0);
		return (json_loads(text.c_str(), 0, nullptr));
	}
};

long
number(json_t *o, const char *a, const char *b = nullptr)
{
	json_t *v = json_object_get(o, a);

	if (b != nullptr)
		v = json_object_get(v, b);
	return ((long)json_integer_value(v));
}

struct behaviour {
	const char *name;
	const char *reply;
	bool close_after;
	const char *status;
	const char *outcome;
	const char *reason;
	bool good;
};

const behaviour behaviours[] = {
	{ "whole",
	    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
	    "brf-outcome: answered\r\nbrf-reason: none\r\n\r\nok",
	    false, "200", "answered", "none", true },
	{ "chunked",
	    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
	    "2\r\nok\r\n0\r\n\r\n",
	    false, "200", "none", "no_reason", true },
	{ "refused",
	    "HTTP/1.1 503 No\r\ncontent-length: 0\r\n"
	    "brf-outcome: not_run\r\nbrf-reason: overload\r\n\r\n",
	    false, "503", "not_run", "overload", false },
	{ "cut body", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok", true,
	    "none", "none", "client_torn_answer", false },
	{ "cut between chunks",
	    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
	    true, "none", "none", "client_torn_answer", false },
	{ "bad chunk size",
	    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
	    "0x2\r\nok\r\n0\r\n\r\n",
	    true, "none", "none", "client_torn_answer", false },
	{ "status 000", "HTTP/1.1 000 No\r\ncontent-length: 2\r\n\r\nok", true,
	    "none", "none", "client_torn_answer", false },
	{ "bad length", "HTTP/1.1 200 OK\r\ncontent-length: 2x\r\n\r\nok", true,
	    "none", "none", "client_torn_answer", false },
	{ "another coding",
	    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n"
	    "2\r\nok\r\n0\r\n\r\n",
	    true, "none", "none", "client_torn_answer", false },
	{ "no framing", "HTTP/1.1 200 OK\r\n\r\nok", true, "none", "none",
	    "client_torn_answer", false },
	{ "closed", "", true, "none", "none", "client_connection_lost", false },
	{ "silent", "", false, "none", "none", "client_timeout", false },
};

TEST_F(load, counts_what_the_server_did)
{
	for (const auto &b : behaviours) {
		SCOPED_TRACE(b.name);
		text.clear();
		requests = 0;
		reply = b.reply;
		close_after = b.close_after;
		json_t *report = run(
		    { "--service=s", "--rate=200", "--fixed", "--seconds=0.1",
			"--timeout-ms=400", "--tries=2", "--report-ms=50" });
		ASSERT_NE(report, nullptr);
		json_t *s =
		    json_array_get(json_object_get(report, "streams"), 0);
		long offered = number(s, "offered");
		EXPECT_EQ(offered, 19); /* each 5 ms, below 100 ms */
		EXPECT_EQ(number(s, "good"), b.good ? offered : 0);
		EXPECT_EQ(number(s, "tries"), b.good ? offered : 2 * offered);
		EXPECT_EQ((long)requests, number(s, "tries"));
		EXPECT_EQ(number(s, "statuses", b.status), offered);
		EXPECT_EQ(number(s, "outcomes", b.outcome), offered);
		EXPECT_EQ(number(s, "reasons", b.reason), offered);
		json_decref(report);
	}
}

TEST_F(load, request_holds_what_was_asked_for)
{
	reply = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
	json_t *report = run({ "--service=s", "--rate=10", "--fixed",
	    "--seconds=0.15", "--method=POST", "--path=/p?q", "--priority=3",
	    "--body-bytes=4", "--workspace-token=tok", "--timeout-ms=5000" });
	EXPECT_EQ(first_request,
	    "POST /p?q HTTP/1.1\r\nhost: s\r\nbrf-timeout-ms: 5000\r\n"
	    "brf-workspace: tok\r\nbrf-priority: 3\r\n"
	    "content-length: 4\r\n\r\nxxxx");
	json_decref(report);
}

/* Streams of a file take from the flags what they leave out. */
TEST_F(load, mix_runs_several_streams)
{
	std::string path = testing::TempDir() + "brf_load_mix.json";
	FILE *file = fopen(path.c_str(), "w");

	ASSERT_NE(file, nullptr);
	fputs("[{\"name\":\"a\",\"rate\":100},"
	      "{\"name\":\"b\",\"rate\":50,\"start-ms\":50}]",
	    file);
	fclose(file);
	reply = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
	json_t *report = run({ "--service=s", "--fixed", "--seconds=0.2",
	    "--report-ms=50", "--mix=" + path });
	json_t *streams = json_object_get(report, "streams");
	ASSERT_EQ(json_array_size(streams), 2);
	json_t *a = json_array_get(streams, 0), *b = json_array_get(streams, 1);
	EXPECT_STREQ(json_string_value(json_object_get(a, "name")), "a");
	EXPECT_EQ(number(a, "good"), 19);
	EXPECT_EQ(number(b, "good"), 9);
	json_t *series = json_object_get(b, "series_offered");
	EXPECT_EQ(json_integer_value(json_array_get(series, 0)), 0);
	EXPECT_EQ(json_integer_value(json_array_get(series, 1)), 2);
	json_decref(report);
	remove(path.c_str());
}

TEST(load_settings, wrong_ones_are_refused)
{
	const char *wrong[] = { "--to=10.0.0.1:80 --service=s",
		"--to=localhost:80 --service=s", "--to=127.0.0.1:0 --service=s",
		"--service=s", "--to=127.0.0.1:1",
		"--to=127.0.0.1:1 --service=s --rate=0",
		"--to=127.0.0.1:1 --service=s --rate=50000 --seconds=3600",
		"--to=127.0.0.1:1 --service=s --method=A\\ B",
		"--to=127.0.0.1:1 --service=s --mix=/dev/null" };
	const char *bin = getenv("BRF_BIN");

	for (const char *flags : wrong) {
		std::string command =
		    std::string(bin != nullptr ? bin : "build/rel/bin") +
		    "/brf-load " + flags + " >/dev/null 2>&1";
		int status = system(command.c_str());
		ASSERT_TRUE(WIFEXITED(status));
		EXPECT_EQ(WEXITSTATUS(status), 2) << flags;
	}
}

} // namespace
