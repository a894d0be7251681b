#ifndef BRF_LINK_FAKE_H
#define BRF_LINK_FAKE_H

#include <algorithm>
#include <list>
#include <string>

#include "bulrushford.h"
#include "flow_fake.h"
#include "link/link.h"

/* A gate that keeps its hops open until the test answers or refuses them. */
struct fake_gate {
	struct brf_hop_backend backend;
	struct brf_tasks *tasks;
	std::list<struct brf_hop *> open;
	size_t cancelled = 0;

	explicit fake_gate(struct brf_tasks *tasks) : tasks(tasks)
	{
		static const struct brf_hop_backend_vt vt = { send, cancel };

		backend.vt = &vt;
	}

	static struct fake_gate *
	of(struct brf_hop_backend *backend)
	{
		return ((struct fake_gate *)(void *)backend);
	}

	static void
	send(struct brf_hop_backend *backend, struct brf_hop *hop)
	{
		struct fake_gate *g = of(backend);

		brf_pipe_init(&hop->answer_body, g->tasks);
		g->open.push_back(hop);
	}

	static void
	cancel(struct brf_hop_backend *backend, struct brf_hop *hop)
	{
		struct fake_gate *g = of(backend);

		g->cancelled += hop->state == BRF_HOP_OPEN;
		g->open.remove(hop);
	}

	/* Sends the head of an answer whose body has no declared length. */
	void
	answer(struct brf_hop *hop, int status, const std::string &fields)
	{
		hop->state = BRF_HOP_ANSWERED;
		hop->arrived = true;
		hop->answer.status = status;
		hop->answer.body = BRF_BODY_CHUNKED;
		brf_buf_add(&hop->answer.fields, fields.data(), fields.size());
		hop->answer_body.reader = hop->owner;
		brf_task_post(tasks, hop->owner);
	}

	void
	refuse(struct brf_hop *hop, enum brf_reason reason)
	{
		hop->state = BRF_HOP_REFUSED;
		hop->reason = reason;
		hop->has_load = true;
		hop->load = { 3, 4, 5, 6 };
		hop->retry_after_ms = 77;
		brf_task_post(tasks, hop->owner);
	}
};

/*
 * A hop to be sent, with a request, and the body of its answer.  reads = false
 * leaves the answer unread.
 */
struct outgoing_hop {
	struct brf_hop hop = {};
	struct brf_task task;
	struct brf_pipe request_body;
	std::string received_body;
	bool reads = true;

	explicit outgoing_hop(struct flow_bench &bench)
	{
		brf_task_init(&task, run);
		brf_pipe_init(&request_body, &bench.scheduler.tasks);
		hop.owner = &task;
		hop.request.id = "id-1";
		hop.request.target = "t-1";
		hop.request.caller = "someone";
		hop.request.method = "POST";
		hop.request.path = "/a/b?c";
		hop.request.host = "h.example";
		hop.request.fields = "x-a: 1\r\n";
		hop.request.fields_len = 8;
		hop.request.deadline =
		    brf_now(&bench.scheduler.clock) + 5 * BRF_US_PER_S;
		hop.request.max_wait_us = 250000;
		hop.request.rank = 2;
	}

	~outgoing_hop()
	{
		brf_hop_release(&hop);
		brf_task_cancel(&task);
		brf_pipe_free(&request_body);
	}

	static void
	run(struct brf_task *task)
	{
		struct outgoing_hop *s =
		    brf_container_of(task, struct outgoing_hop, task);

		if (s->hop.state != BRF_HOP_ANSWERED || !s->reads)
			return;
		s->received_body.append(brf_pipe_data(&s->hop.answer_body),
		    brf_pipe_len(&s->hop.answer_body));
		brf_pipe_consume(
		    &s->hop.answer_body, brf_pipe_len(&s->hop.answer_body));
	}
};

/* The links of one node, with a fake gate, routing table and known targets. */
struct linked_node {
	struct fake_gate gate;
	struct fake_table_handler {
		struct brf_link_table_handler news;
		uint64_t revision = 0;
		std::string text;
		uint64_t received = 0;
		std::string received_text;
	} news;
	struct fake_targets_handler {
		struct brf_link_targets_handler hints;
		bool needed = false;
		std::string text;
		std::string received;
	} hints;
	char service[BRF_NAME_MAX + 1];
	struct brf_links *links;
	struct sockaddr_in addr;

	static uint64_t
	revision(struct brf_link_table_handler *n)
	{
		return (((struct fake_table_handler *)(void *)n)->revision);
	}

	static bool
	text(struct brf_link_table_handler *n, const char **text, size_t *len)
	{
		auto *f = (struct fake_table_handler *)(void *)n;

		*text = f->text.data();
		*len = f->text.size();
		return (f->revision != 0);
	}

	static void
	received(struct brf_link_table_handler *n, uint64_t revision,
	    const char *text, size_t len)
	{
		auto *f = (struct fake_table_handler *)(void *)n;

		f->received = revision;
		f->received_text.assign(text, len);
		f->revision = revision;
		f->text = f->received_text;
	}

	static bool
	needed(struct brf_link_targets_handler *h)
	{
		return (((struct fake_targets_handler *)(void *)h)->needed);
	}

	static void
	write(struct brf_link_targets_handler *h, struct brf_buf *out)
	{
		auto *f = (struct fake_targets_handler *)(void *)h;

		brf_buf_add(out, f->text.data(), f->text.size());
	}

	static void
	targets_received(
	    struct brf_link_targets_handler *h, const char *text, size_t len)
	{
		auto *f = (struct fake_targets_handler *)(void *)h;

		f->received.assign(text, len);
		f->needed = false;
	}

	linked_node(struct flow_bench &bench, const char *name,
	    const char *service_name,
	    struct brf_link_watch_handler *watches = nullptr)
	    : gate(&bench.scheduler.tasks)
	{
		static const struct brf_link_table_handler_vt vt = { revision,
			text, received };
		struct brf_links_config config = {};
		struct brf_error err;
		uint16_t port;

		static const struct brf_link_targets_handler_vt hints_vt = {
			needed, write, targets_received
		};

		news.news.vt = &vt;
		hints.hints.vt = &hints_vt;
		brf_copy_name(service, sizeof(service), service_name);
		config.loop = &bench.loop;
		config.tasks = &bench.scheduler.tasks;
		config.timers = bench.scheduler.timers;
		config.metrics = bench.metrics;
		config.gate = &gate.backend;
		config.news = &news.news;
		config.hints = &hints.hints;
		config.watches = watches;
		config.node = name;
		config.service = service;
		links = brf_links_new(&config);
		addr = loopback(0);
		EXPECT_TRUE(brf_links_listen(
		    links, (const struct sockaddr *)&addr, &port, &err));
		addr.sin_port = htons(port);
	}
};

/* Two nodes on one loop; hops go from a to the gate of b. */
struct two_nodes : public testing::Test {
	struct flow_bench bench;
	struct linked_node a, b;
	struct brf_link *link = nullptr;

	two_nodes() : a(bench, "a", "service-a"), b(bench, "b", "service-b")
	{
		bench.scheduler.after_tasks = flush;
		bench.scheduler.arg = this;
	}

	static void
	flush(void *arg)
	{
		auto *t = (struct two_nodes *)arg;

		brf_links_flush(t->a.links);
		brf_links_flush(t->b.links);
	}

	static void
	on_closed(void *arg)
	{
		++*(int *)arg;
	}

	struct brf_link *
	link_to_b()
	{
		if (link == nullptr)
			link = brf_links_get(a.links, &b.addr);
		return (link);
	}

	void
	release_link_to_b()
	{
		brf_link_release(link);
		link = nullptr;
	}

	void
	send(struct outgoing_hop &s)
	{
		brf_hop_send(brf_link_backend(link_to_b()), &s.hop);
	}

	/* Waits until n hops are open at b; returns the last one, or NULL. */
	struct brf_hop *
	arrived(size_t n = 1)
	{
		EXPECT_TRUE(
		    bench.until([&] { return (b.gate.open.size() >= n); }));
		return (b.gate.open.empty() ? nullptr : b.gate.open.back());
	}

	void
	close()
	{
		int closed = 0;

		brf_links_close(a.links, on_closed, &closed);
		brf_links_close(b.links, on_closed, &closed);
		EXPECT_TRUE(bench.until([&] { return (closed == 2); }));
		bench.scheduler.after_tasks = nullptr;
		brf_links_free(a.links);
		brf_links_free(b.links);
	}
};

#endif
