#ifndef GATE_FAKE_H
#define GATE_FAKE_H

#include <set>
#include <string>
#include <vector>

#include "base/exchange.h"

/**
 * DOC: Fake backend: attempts sent to it stay open until the test ends them.
 */

struct gate_fake;

static void gate_fake_send(struct brf_backend *b, struct brf_exchange *x);
static void gate_fake_cancel(struct brf_backend *b, struct brf_exchange *x);

static const struct brf_backend_vt gate_fake_vt = { gate_fake_send,
	gate_fake_cancel };

/**
 * struct gate_fake - fake backend; @backend must be the first member.
 * @echo: answer each request at once with its own body
 * @ignore_cancels: cancellations are counted and otherwise ignored
 * @cancel_outcome: outcome of a cancelled attempt that is not in @started
 * @open: exchanges that have not ended, in order of arrival
 * @seen: all attempts received
 * @started: low words of the ids of attempts that run; they end with
 *	BRF_UNKNOWN when cancelled
 * @cancelled: number of cancellations
 */
struct gate_fake {
	struct brf_backend backend = { &gate_fake_vt };
	bool echo = false;
	bool ignore_cancels = false;
	enum brf_outcome cancel_outcome = BRF_NOT_RUN;
	std::vector<struct brf_exchange *> open;
	std::vector<struct brf_attempt> seen; /* requests are not referenced */
	std::set<uint64_t> started;
	int cancelled = 0;

	void
	end(struct brf_exchange *x, struct brf_reply reply)
	{
		for (size_t i = 0; i < open.size(); i++) {
			if (open[i] == x) {
				open.erase(open.begin() + (long)i);
				break;
			}
		}
		x->done(x, &reply);
	}

	void
	refuse(struct brf_exchange *x, enum brf_reason reason)
	{
		struct brf_reply reply = {};

		reply.outcome = BRF_NOT_RUN;
		reply.reason = reason;
		end(x, reply);
	}

	void
	answer(
	    struct brf_exchange *x, const std::string &body, int status = 200)
	{
		struct brf_reply reply = {};

		reply.outcome = BRF_ANSWERED;
		reply.answer = brf_message_new();
		reply.answer->status = status;
		brf_buf_add(&reply.answer->body, body.data(), body.size());
		struct brf_message *m = reply.answer;
		end(x, reply);
		brf_message_unref(m);
	}
};

static void
gate_fake_send(struct brf_backend *b, struct brf_exchange *x)
{
	auto *g = reinterpret_cast<struct gate_fake *>(b);

	g->open.push_back(x);
	g->seen.push_back(x->attempt);
	if (g->echo)
		g->answer(x, std::string(x->attempt.request->body.data
					     ? x->attempt.request->body.data
					     : "",
				 x->attempt.request->body.len));
}

static void
gate_fake_cancel(struct brf_backend *b, struct brf_exchange *x)
{
	auto *g = reinterpret_cast<struct gate_fake *>(b);
	struct brf_reply reply = {};

	g->cancelled++;
	if (g->ignore_cancels)
		return;
	reply.outcome = g->started.count(x->attempt.id.lo) ? BRF_UNKNOWN
							   : g->cancel_outcome;
	reply.reason = BRF_R_CANCELLED;
	g->end(x, reply);
}

#endif
