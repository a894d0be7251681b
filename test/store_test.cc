#include <gtest/gtest.h>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <functional>
#include <string>
#include <vector>

#include "config/edit.h"
#include "config/envelope.h"
#include "config/store_client.h"
#include "config/store_codec.h"
#include "http_fake.h"

extern char **environ;

namespace
{

const std::string ring_text = "k:000102030405060708090a0b0c0d0e0f";

/* The brf-store stand-in as a child process, terminated by the destructor. */
struct standin {
	pid_t pid = -1;
	uint16_t port = 0;

	standin()
	{
		const char *bin = getenv("BRF_BIN");
		std::string path =
		    std::string(bin ? bin : "build/rel/bin") + "/brf-store";
		char *argv[] = { path.data(), nullptr };
		posix_spawn_file_actions_t actions;
		char line[64] = "";
		int fds[2];

		if (pipe(fds) != 0)
			return;
		posix_spawn_file_actions_init(&actions);
		posix_spawn_file_actions_adddup2(&actions, fds[1], 1);
		posix_spawn_file_actions_addclose(&actions, fds[0]);
		EXPECT_EQ(posix_spawn(&pid, path.c_str(), &actions, nullptr,
			      argv, environ),
		    0);
		posix_spawn_file_actions_destroy(&actions);
		close(fds[1]);
		EXPECT_GT(read(fds[0], line, sizeof(line) - 1), 0);
		close(fds[0]);
		port = (uint16_t)atoi(line + strcspn(line, "0123456789"));
	}

	~standin()
	{
		kill(pid, SIGTERM);
		waitpid(pid, nullptr, 0);
	}

	standin(const standin &) = delete;
	standin &operator=(const standin &) = delete;
};

struct got {
	bool ended = false;
	enum brf_store_outcome outcome = BRF_STORE_UNKNOWN;
	enum brf_errc code = BRF_OK;
	uint64_t revision = 0;
	uint64_t lease = 0;
	uint32_t ttl_s = 0;
	std::vector<std::string> values;
	uint64_t mod = 0;
};

struct call {
	struct brf_store_call c = {};
	struct got g;
};

void
call_ended(struct brf_store_call *c, const struct brf_store_response *a)
{
	struct got &g = brf_container_of(c, struct call, c)->g;

	g.ended = true;
	g.outcome = a->outcome;
	g.code = a->err.code;
	g.revision = a->revision;
	g.lease = a->lease;
	g.ttl_s = a->ttl_s;
	for (size_t i = 0; i < a->count; i++)
		g.values.emplace_back(a->kvs[i].value, a->kvs[i].len);
	g.mod = a->count != 0 ? a->kvs[0].revision : 0;
}

struct watched {
	struct brf_store_watch w = {};
	std::vector<std::string> values;
	uint64_t events = 0;
	uint64_t deleted = 0;
	enum brf_errc ended = BRF_OK;
};

void
watch_event(struct brf_store_watch *w, const struct brf_store_event *event)
{
	auto *seen = brf_container_of(w, struct watched, w);

	seen->events++;
	for (size_t i = 0; i < event->count; i++) {
		const struct brf_store_kv &kv = event->kvs[i];

		if (kv.deleted)
			seen->deleted++;
		else
			seen->values.emplace_back(kv.value, kv.len);
	}
}

void
watch_ended(struct brf_store_watch *w, const struct brf_error *err)
{
	brf_container_of(w, struct watched, w)->ended = err->code;
}

void
fetched(void *arg, const struct brf_error *err,
    const struct brf_fetch_answer *answer)
{
	(void)err;
	*static_cast<std::string *>(arg) =
	    std::string(answer->body ? answer->body : "", answer->body_len) +
	    "\n";
}

struct client {
	http_test_loop bench;
	standin process;
	struct brf_random_seeded random;
	struct brf_store *store;

	explicit client(uint64_t timeout_us = 5 * BRF_US_PER_S,
	    double calls_per_s = 1000, bool dead_first = false)
	{
		struct brf_store_client_config config = {};
		struct sockaddr_in addr = loopback(process.port);

		brf_random_seeded_init(&random, 1);
		config.http = bench.hl;
		config.timers = bench.timers;
		config.metrics = bench.metrics;
		if (dead_first) {
			struct sockaddr_in dead = loopback(1);

			memcpy(&config.addrs[config.addr_count++], &dead,
			    sizeof(dead));
		}
		memcpy(&config.addrs[config.addr_count++], &addr, sizeof(addr));
		config.calls_per_s = calls_per_s;
		config.burst = 1000;
		config.timeout_us = timeout_us;
		store = brf_store_client_new(&config);
	}

	~client()
	{
		brf_store_client_free(store);
		bench.run_iterations(20);
	}

	struct got
	run(const struct brf_store_request &request)
	{
		call c;

		c.c.request = request;
		c.c.done = call_ended;
		brf_store_start(store, &c.c);
		EXPECT_FALSE(c.g.ended);
		EXPECT_TRUE(bench.run_loop_until([&] { return (c.g.ended); }));
		return (c.g);
	}

	struct got
	put(const char *key, const std::string &value, uint64_t lease = 0)
	{
		struct brf_store_request r = {};

		r.op = BRF_STORE_PUT;
		r.key = key;
		r.value = value.data();
		r.len = value.size();
		r.lease = lease;
		return (run(r));
	}

	struct got
	compare_and_put(
	    const char *key, const std::string &value, uint64_t expect)
	{
		struct brf_store_request r = {};

		r.op = BRF_STORE_PUT;
		r.key = key;
		r.value = value.data();
		r.len = value.size();
		r.compare = true;
		r.expect = expect;
		return (run(r));
	}

	struct got
	get(const char *key, bool prefix = false, bool latest_only = false,
	    uint64_t at = 0)
	{
		struct brf_store_request r = {};

		r.op = BRF_STORE_GET;
		r.key = key;
		r.prefix = prefix;
		r.latest_only = latest_only;
		r.at_revision = at;
		return (run(r));
	}

	struct got
	lease(enum brf_store_op op, uint64_t id, uint32_t ttl_s = 0)
	{
		struct brf_store_request r = {};

		r.op = op;
		r.lease = id;
		r.ttl_s = ttl_s;
		return (run(r));
	}

	/* Calls an endpoint of the stand-in that is not part of the store's
	 * API. */
	std::string
	call_endpoint(const char *path, const std::string &body)
	{
		struct sockaddr_in addr = loopback(process.port);
		struct brf_fetch_call c = {};
		std::string answer;

		c.addr = (struct sockaddr *)&addr;
		c.method = body.empty() ? "GET" : "POST";
		c.path = path;
		c.body = body.data();
		c.body_len = body.size();
		c.timeout_us = 5 * BRF_US_PER_S;
		c.done = fetched;
		c.arg = &answer;
		brf_fetch_start(bench.hl, &c);
		EXPECT_TRUE(
		    bench.run_loop_until([&] { return (!answer.empty()); }));
		return (answer);
	}

	void
	fault(const std::string &json)
	{
		EXPECT_EQ(call_endpoint("/control", json), "{}\n");
	}

	void
	watch(watched &seen, uint64_t from)
	{
		seen.w.prefix = "/p/";
		seen.w.from = from;
		seen.w.event = watch_event;
		seen.w.ended = watch_ended;
		brf_store_watch_start(store, &seen.w);
		EXPECT_TRUE(bench.run_loop_until(
		    [&] { return (seen.events > 0 || seen.ended != BRF_OK); }));
	}
};

std::string
sealed(const std::string &id)
{
	struct brf_keyring *ring =
	    brf_keyring_parse(ring_text.data(), ring_text.size(), nullptr);
	struct brf_buf out = {};

	brf_envelope_seal(ring, "s", id.c_str(), "{}", 2, &out, nullptr);
	std::string value(out.data, out.len);
	brf_buf_free(&out);
	brf_keyring_free(ring);
	return (value);
}

void
edit_ended(void *arg, const struct brf_edit_result *result)
{
	*static_cast<int *>(arg) = (int)result->outcome;
}

} // namespace

TEST(store, contract)
{
	client c;
	const std::string bytes("\0\xff binary", 9);

	EXPECT_EQ(c.get("/p/a").values.size(), 0u);
	struct got first = c.put("/p/a", "one");
	EXPECT_EQ(first.outcome, BRF_STORE_DONE);
	struct got read = c.get("/p/a");
	EXPECT_EQ(read.values, std::vector<std::string>{ "one" });
	EXPECT_EQ(read.mod, first.revision);
	EXPECT_EQ(c.compare_and_put("/p/a", "x", first.revision - 1).outcome,
	    BRF_STORE_CONFLICT);
	EXPECT_EQ(c.compare_and_put("/p/new", "x", 7).mod, 0u);
	struct got second = c.compare_and_put("/p/a", bytes, first.revision);
	EXPECT_EQ(second.outcome, BRF_STORE_DONE);
	EXPECT_GT(second.revision, first.revision);
	struct got lost = c.compare_and_put("/p/a", "y", first.revision);
	EXPECT_EQ(lost.outcome, BRF_STORE_CONFLICT);
	EXPECT_EQ(lost.code, BRF_E_CONFLICT);
	EXPECT_EQ(lost.values, std::vector<std::string>{ bytes });
	EXPECT_EQ(lost.mod, second.revision);
	EXPECT_EQ(c.compare_and_put("/p/b", "", 0).outcome, BRF_STORE_DONE);
	EXPECT_EQ(c.put("/q", "other").outcome, BRF_STORE_DONE);
	EXPECT_EQ(c.get("/p/", true).values.size(), 2u);
	struct got newest = c.get("/p/", true, true);
	EXPECT_EQ(newest.values, std::vector<std::string>{ "" });
	EXPECT_EQ(newest.mod, c.get("/p/b").mod);
	struct got past = c.get("/p/a", false, false, first.revision);
	EXPECT_EQ(past.values, std::vector<std::string>{ "one" });
	c.fault("{\"compact\":" + std::to_string(second.revision) + "}");
	EXPECT_EQ(c.get("/p/a", false, false, first.revision).code,
	    BRF_E_STORE_COMPACTED);
}

TEST(store, leases)
{
	client c;
	struct got granted = c.lease(BRF_STORE_LEASE_GRANT, 0, 600);

	EXPECT_EQ(granted.outcome, BRF_STORE_DONE);
	EXPECT_EQ(granted.ttl_s, 600u);
	EXPECT_EQ(c.put("/p/a", "one", granted.lease).outcome, BRF_STORE_DONE);
	EXPECT_EQ(
	    c.lease(BRF_STORE_LEASE_KEEPALIVE, granted.lease).ttl_s, 600u);
	EXPECT_EQ(c.lease(BRF_STORE_LEASE_REVOKE, granted.lease).outcome,
	    BRF_STORE_DONE);
	EXPECT_EQ(c.get("/p/a").values.size(), 0u);
	struct got kept = c.lease(BRF_STORE_LEASE_KEEPALIVE, granted.lease);
	EXPECT_EQ(kept.outcome, BRF_STORE_DONE);
	EXPECT_EQ(kept.ttl_s, 0u);
	EXPECT_EQ(c.lease(BRF_STORE_LEASE_REVOKE, granted.lease).outcome,
	    BRF_STORE_REFUSED);
	EXPECT_EQ(
	    c.put("/p/a", "one", granted.lease).outcome, BRF_STORE_REFUSED);
	struct got brief = c.lease(BRF_STORE_LEASE_GRANT, 0, 1);
	c.put("/p/b", "one", brief.lease);
	EXPECT_TRUE(c.bench.run_loop_until(
	    [&] { return (c.get("/p/b").values.empty()); }));
}

TEST(store, watch)
{
	client c;
	watched seen, late, old;
	uint64_t first = c.put("/p/a", "one").revision;

	c.watch(seen, first);
	c.put("/q", "not seen");
	uint64_t lease = c.lease(BRF_STORE_LEASE_GRANT, 0, 600).lease;
	uint64_t last = c.put("/p/b", "two", lease).revision;
	c.lease(BRF_STORE_LEASE_REVOKE, lease);
	EXPECT_TRUE(
	    c.bench.run_loop_until([&] { return (seen.deleted == 1); }));
	EXPECT_EQ(seen.values, (std::vector<std::string>{ "one", "two" }));
	c.watch(late, last);
	EXPECT_TRUE(
	    c.bench.run_loop_until([&] { return (late.values.size() == 1); }));
	c.fault("{\"compact\":" + std::to_string(last) + "}");
	c.watch(old, first);
	EXPECT_EQ(old.ended, BRF_E_STORE_COMPACTED);
	c.fault("{\"break_watches\":true}");
	EXPECT_TRUE(
	    c.bench.run_loop_until([&] { return (seen.ended != BRF_OK); }));
	brf_store_watch_stop(c.store, &late.w);
}

/* The outcome of a write and a read under each fault, and whether the write was
 * stored. */
TEST(store, outcomes_under_faults)
{
	const struct {
		const char *name;
		const char *fault;
		enum brf_store_outcome write;
		enum brf_store_outcome read;
		bool stored;
	} cases[] = {
		{ "none", "{}", BRF_STORE_DONE, BRF_STORE_DONE, true },
		{ "down", "{\"down\":true}", BRF_STORE_UNKNOWN,
		    BRF_STORE_UNKNOWN, false },
		{ "errors", "{\"error_ratio\":1}", BRF_STORE_UNKNOWN,
		    BRF_STORE_UNKNOWN, false },
		{ "response dropped", "{\"drop_answers\":1}", BRF_STORE_UNKNOWN,
		    BRF_STORE_DONE, true },
		{ "slow", "{\"slow_ms\":60000}", BRF_STORE_UNKNOWN,
		    BRF_STORE_UNKNOWN, true },
	};

	for (const auto &f : cases) {
		client c(f.read == BRF_STORE_DONE ? 5 * BRF_US_PER_S
						  : 500 * BRF_US_PER_MS);

		c.fault(f.fault);
		EXPECT_EQ(c.put("/p/a", "one").outcome, f.write) << f.name;
		EXPECT_EQ(c.get("/p/a").outcome, f.read) << f.name;
		c.fault("{\"down\":false,\"error_ratio\":0,\"slow_ms\":0}");
		EXPECT_EQ(c.get("/p/a").values.size(), f.stored ? 1u : 0u)
		    << f.name;
	}
}

TEST(store, nothing_listens)
{
	client c;

	kill(c.process.pid, SIGTERM);
	waitpid(c.process.pid, nullptr, 0);
	struct got g = c.put("/p/a", "one");
	EXPECT_EQ(g.outcome, BRF_STORE_REFUSED);
	EXPECT_EQ(g.code, BRF_E_CONNECT);
}

TEST(store, the_next_address_is_used_after_a_failure)
{
	client c(5 * BRF_US_PER_S, 1000, true);

	EXPECT_EQ(c.put("/p/a", "one").outcome, BRF_STORE_REFUSED);
	EXPECT_EQ(c.put("/p/a", "one").outcome, BRF_STORE_DONE);
	EXPECT_EQ(c.get("/p/a").values.size(), 1u);
}

/* All 1100 calls start before the first one is sent: 64 fit into the queue and
 * are executed, 1036 are refused. */
TEST(store, the_call_rate_and_the_queue_are_bounded)
{
	client c(5 * BRF_US_PER_S, 0.001);
	std::vector<call> calls(1100);
	size_t refused = 0, done = 0;

	for (call &one : calls) {
		one.c.request.op = BRF_STORE_GET;
		one.c.request.key = "/p/a";
		one.c.done = call_ended;
		brf_store_start(c.store, &one.c);
	}
	EXPECT_TRUE(c.bench.run_loop_until([&] {
		refused = done = 0;
		for (const call &one : calls) {
			refused += one.g.ended && one.g.code == BRF_E_LIMIT;
			done += one.g.ended && one.g.code == BRF_OK;
		}
		return (refused == 1036);
	}));
	EXPECT_TRUE(c.bench.run_loop_until([&] {
		done = 0;
		for (const call &one : calls)
			done += one.g.outcome == BRF_STORE_DONE;
		return (done == 64);
	}));
	for (call &one : calls) {
		if (!one.g.ended)
			brf_store_cancel(c.store, &one.c);
	}
}

TEST(store, a_deletion_is_encoded_with_its_condition)
{
	struct brf_store_request r = {};
	struct brf_store_response got = {};
	struct brf_buf body = {};
	const std::string conflict =
	    "{\"header\":{\"revision\":\"9\"},\"responses\":"
	    "[{\"response_range\":{\"kvs\":[{\"key\":\"aw==\"}]}}]}";

	r.op = BRF_STORE_DELETE;
	r.key = "k";
	r.compare = true;
	r.expect = 7;
	EXPECT_STREQ(brf_store_encode(&r, &body), "/v3/kv/txn");
	EXPECT_EQ(std::string(body.data, body.len),
	    "{\"compare\":[{\"key\":\"aw==\",\"target\":\"MOD\","
	    "\"result\":\"EQUAL\",\"mod_revision\":\"7\"}],"
	    "\"success\":[{\"request_delete_range\":{\"key\":\"aw==\"}}],"
	    "\"failure\":[{\"request_range\":{\"key\":\"aw==\"}}]}");
	brf_buf_free(&body);
	brf_store_decode(&r, 200, conflict.data(), conflict.size(), &got);
	EXPECT_EQ(got.outcome, BRF_STORE_CONFLICT);
	brf_store_response_free(&got);
}

/* The response to the write is lost: the edit must end as DONE with one write.
 */
TEST(store, an_edit_whose_response_is_lost_is_read_back)
{
	client c;
	const std::string value = sealed("mine");
	struct brf_edit_config config = {};
	int outcome = -1;

	config.store = c.store;
	config.timers = c.bench.timers;
	config.random = &c.random.random;
	config.service = "s";
	config.id = "mine";
	config.value = value.data();
	config.len = value.size();
	config.deadline_us = 60 * BRF_US_PER_S;
	c.fault("{\"drop_answers\":1}");
	brf_edit_start(&config, edit_ended, &outcome);
	EXPECT_TRUE(c.bench.run_loop_until([&] { return (outcome != -1); }));
	EXPECT_EQ(outcome, BRF_STORE_DONE);
	EXPECT_NE(c.call_endpoint("/statz", "").find("\"writes\":1,"),
	    std::string::npos);
}
