#ifndef BRF_STORE_FAKE_H
#define BRF_STORE_FAKE_H

#include <algorithm>
#include <list>
#include <string>
#include <vector>

#include "config/store.h"

/* How the fake store handles a call. */
enum delivery {
	DELIVER,       /* takes effect, with a response */
	LOSE_REQUEST,  /* no effect, no response */
	LOSE_RESPONSE, /* takes effect, no response */
	DELAY,	       /* no response; takes effect in run_late() */
	NOT_SENT,      /* the connection is refused */
	DELIVERIES
};

/* An in-memory store.  It does nothing by itself: the test handles each call by
 * process_next_call() and sends watch events by deliver_watch_events(). */
struct fake_store {
	struct change {
		uint64_t revision;
		std::string key;
		std::string value;
		uint64_t lease = 0;
		bool deleted = false;
	};

	struct job {
		struct brf_store_call *call;
		struct brf_store_request request;
		std::string key;
		std::string value;
		uint64_t epoch; /* known when the call was started */
	};

	struct open_watch {
		struct brf_store_watch *watch;
		std::string prefix;
		uint64_t from;
		bool silent = false; /* its connection has gone dead */
		bool alone = false;  /* ...and older ones have not */
	};

	struct brf_store store;
	struct brf_store_state state = {};
	uint64_t epoch = 0; /* reported by the next response or event */
	uint64_t revision = 1;
	uint64_t compacted = 0;
	std::vector<change> log;
	std::list<job> waiting;
	std::list<job> late; /* calls to which DELAY was applied */
	std::list<open_watch> watches;
	bool silent = false;	      /* watches stay open without events */
	bool polled = false;	      /* watches hear of changes alone */
	bool ignores_compare = false; /* faulty store, to test the oracles */
	std::vector<uint64_t> leases; /* those that have not expired */
	uint64_t granted = 0;	      /* id of the lease granted last */
	uint64_t reads = 0;	      /* get calls handled */
	uint64_t opened = 0;	      /* watches opened */

	fake_store()
	{
		static const struct brf_store_vt vt = { start, cancel,
			watch_start, watch_stop };

		brf_store_init(&store, &vt, &state);
	}

	static fake_store *
	of(struct brf_store *store)
	{
		return (reinterpret_cast<fake_store *>(store));
	}

	static void
	start(struct brf_store *store, struct brf_store_call *call)
	{
		const struct brf_store_request &r = call->request;
		job j = { call, r, r.key != nullptr ? r.key : "", "",
			brf_store_epoch(store) };

		if (r.value != nullptr)
			j.value.assign(r.value, r.len);
		of(store)->waiting.push_back(j);
	}

	static void
	cancel(struct brf_store *store, struct brf_store_call *call)
	{
		of(store)->waiting.remove_if(
		    [call](const job &j) { return (j.call == call); });
	}

	static void
	watch_start(struct brf_store *store, struct brf_store_watch *watch)
	{
		of(store)->watches.push_back(
		    { watch, watch->prefix, watch->from, false });
		of(store)->opened++;
	}

	static void
	watch_stop(struct brf_store *store, struct brf_store_watch *watch)
	{
		of(store)->watches.remove_if([watch](const open_watch &w) {
			return (w.watch == watch);
		});
	}

	/* Return: the last change of @key up to revision @at. */
	const change *
	get(const std::string &key, uint64_t at) const
	{
		for (auto c = log.rbegin(); c != log.rend(); c++) {
			if (c->key == key && c->revision <= at)
				return (&*c);
		}
		return (nullptr);
	}

	uint64_t
	put(const std::string &key, const std::string &value,
	    uint64_t lease = 0)
	{
		log.push_back({ ++revision, key, value, lease, false });
		return (revision);
	}

	void
	remove(const std::string &key)
	{
		log.push_back({ ++revision, key, "", 0, true });
	}

	bool
	has_lease(uint64_t lease) const
	{
		return (std::find(leases.begin(), leases.end(), lease) !=
			leases.end());
	}

	/* Expires the lease and deletes its keys. */
	void
	lapse(uint64_t lease)
	{
		std::vector<std::string> keys;

		leases.erase(std::remove(leases.begin(), leases.end(), lease),
		    leases.end());
		for (const change &c : log) {
			if (get(c.key, revision) == &c && c.lease == lease &&
			    !c.deleted)
				keys.push_back(c.key);
		}
		for (const std::string &key : keys)
			remove(key);
	}

	/* Return: the current value of a key; empty if it does not exist. */
	std::string
	value(const std::string &key) const
	{
		const change *c = get(key, revision);

		return (c != nullptr && !c->deleted ? c->value : "");
	}

	/* Discards all changes after revision @to. */
	void
	go_back(uint64_t to)
	{
		while (!log.empty() && log.back().revision > to)
			log.pop_back();
		revision = std::min(revision, to);
	}

	/* Goes back to the copy made at revision @to; all leases are gone, and
	 * their ids are given out again.  Watches hear nothing any more. */
	void
	restore(uint64_t to)
	{
		go_back(to);
		leases.clear();
		granted = 0;
		epoch++;
		silent = true;
	}

	/* Tells the observers of a restore, as the client of a store does with
	 * the first response after it. */
	void
	learn_epoch()
	{
		if (epoch <= state.epoch)
			return;
		brf_store_learn_epoch(&store, epoch);
		silent = false;
		break_watches(BRF_E_STORE_RESTORED);
	}

	static bool
	is_change(const job &j)
	{
		return (j.request.op == BRF_STORE_PUT ||
			j.request.op == BRF_STORE_DELETE);
	}

	/* Executes a put or a deletion.  Return: false if the key is at another
	 * revision or the lease does not exist. */
	bool
	apply(const job &j)
	{
		const change *now = get(j.key, revision);

		if (now != nullptr && now->deleted)
			now = nullptr;
		if (j.request.compare && !ignores_compare &&
		    j.request.expect != (now != nullptr ? now->revision : 0))
			return (false);
		if (j.request.lease != 0 && !has_lease(j.request.lease))
			return (false);
		if (j.request.op == BRF_STORE_DELETE)
			remove(j.key);
		else
			put(j.key, j.value, j.request.lease);
		return (true);
	}

	/* Executes the delayed puts and deletions. */
	void
	run_late()
	{
		for (const job &j : late) {
			if (is_change(j))
				apply(j);
		}
		late.clear();
	}

	static void
	fail(const job &j, enum brf_store_outcome outcome, enum brf_errc code)
	{
		struct brf_store_response response = {};

		response.outcome = outcome;
		response.err.code = code;
		j.call->done(j.call, &response);
	}

	/* Return: the current changes of the keys that a call asks for. */
	std::vector<const change *>
	find(const job &j) const
	{
		std::vector<const change *> found;
		uint64_t at =
		    j.request.at_revision ? j.request.at_revision : revision;

		for (const change &c : log) {
			bool matches =
			    j.request.prefix
				? c.key.compare(0, j.key.size(), j.key) == 0
				: c.key == j.key;
			if (matches && !c.deleted && get(c.key, at) == &c)
				found.push_back(&c);
		}
		if (j.request.latest_only && found.size() > 1)
			found.erase(found.begin(), found.end() - 1);
		return (found);
	}

	void
	respond(const job &j, enum brf_store_outcome outcome)
	{
		struct brf_store_response response = {};
		std::vector<struct brf_store_kv> kvs;

		for (const change *c : find(j)) {
			struct brf_store_kv kv = {};

			kv.key = const_cast<char *>(c->key.c_str());
			kv.value = const_cast<char *>(c->value.data());
			kv.len = j.request.latest_only ? 0 : c->value.size();
			kv.revision = c->revision;
			kvs.push_back(kv);
		}
		response.outcome = outcome;
		response.revision = revision;
		response.lease = granted;
		response.ttl_s = has_lease(j.request.lease) ||
					 j.request.op == BRF_STORE_LEASE_GRANT
				     ? 8
				     : 0;
		if (outcome == BRF_STORE_CONFLICT)
			response.err.code = BRF_E_CONFLICT;
		response.kvs = kvs.data();
		response.count = kvs.size();
		j.call->done(j.call, &response);
	}

	/* Executes a call and responds to it. */
	void
	deliver(const job &j)
	{
		if (j.request.epoch != 0 && j.epoch > j.request.epoch) {
			fail(j, BRF_STORE_REFUSED, BRF_E_STORE_RESTORED);
			return;
		}
		if (j.epoch != 0 && j.epoch < epoch) {
			if (is_change(j))
				apply(j);
			fail(j,
			    j.request.op == BRF_STORE_GET ? BRF_STORE_REFUSED
							  : BRF_STORE_UNKNOWN,
			    BRF_E_STORE_RESTORED);
			return;
		}
		if (j.request.op == BRF_STORE_PUT && j.request.lease != 0 &&
		    !has_lease(j.request.lease)) {
			fail(j, BRF_STORE_REFUSED, BRF_E_NOT_FOUND);
			return;
		}
		if (j.request.op == BRF_STORE_LEASE_GRANT)
			leases.push_back(++granted);
		if (j.request.op == BRF_STORE_LEASE_REVOKE)
			lapse(j.request.lease);
		if (is_change(j)) {
			bool ok = apply(j);

			respond(j, ok ? BRF_STORE_DONE : BRF_STORE_CONFLICT);
			return;
		}
		if (j.request.op == BRF_STORE_GET)
			reads++;
		if (j.request.at_revision != 0 &&
		    j.request.at_revision < compacted)
			fail(j, BRF_STORE_REFUSED, BRF_E_STORE_COMPACTED);
		else
			respond(j, BRF_STORE_DONE);
	}

	/* Removes the first waiting call and handles it as @delivery says. */
	void
	process_next_call(enum delivery delivery)
	{
		if (delivery == DELIVER && !waiting.empty())
			learn_epoch(); /* may cancel the call */
		if (waiting.empty())
			return;
		job j = waiting.front();

		waiting.pop_front();
		if (delivery == DELAY)
			late.push_back(j);
		if (delivery == LOSE_RESPONSE && is_change(j))
			apply(j);
		if (delivery == DELIVER)
			deliver(j);
		else if (delivery == NOT_SENT)
			fail(j, BRF_STORE_REFUSED, BRF_E_CONNECT);
		else
			fail(j, BRF_STORE_UNKNOWN, BRF_E_CLOSED);
	}

	/* Sends each watch the changes that it has not received yet, or a
	 * progress notification. */
	void
	deliver_watch_events()
	{
		std::vector<struct brf_store_watch *> open;

		for (const open_watch &w : watches)
			open.push_back(w.watch);
		for (struct brf_store_watch *watch : open)
			deliver_event(watch);
	}

	void
	deliver_event(struct brf_store_watch *watch)
	{
		for (open_watch &w : watches) {
			if (w.watch != watch || silent || w.silent)
				continue;
			std::vector<struct brf_store_kv> kvs;

			for (const change &c : log) {
				struct brf_store_kv kv = {};

				if (c.revision < w.from ||
				    c.key.compare(
					0, w.prefix.size(), w.prefix) != 0)
					continue;
				kv.key = const_cast<char *>(c.key.c_str());
				kv.value = const_cast<char *>(c.value.data());
				kv.len = c.value.size();
				kv.revision = c.revision;
				kv.deleted = c.deleted;
				kvs.push_back(kv);
			}
			if (polled && kvs.empty())
				return;
			if (w.from <= revision)
				w.from = revision + 1;
			struct brf_store_event event = { revision, kvs.data(),
				kvs.size() };
			watch->event(watch, &event);
			return;
		}
	}

	/* Confirms the watches that are alive, as an answered call does. */
	void
	confirm_watches(uint64_t now)
	{
		for (open_watch &w : watches) {
			if (!silent && (!w.silent || w.alone) &&
			    w.watch->confirmed)
				w.watch->confirmed(w.watch, now);
		}
	}

	/* The connections of the watches that are open now go dead; all others
	 * too, unless @alone. */
	void
	silence_open_watches(bool alone = false)
	{
		for (open_watch &w : watches) {
			w.silent = true;
			w.alone = alone;
		}
	}

	/* Ends all watches with the error @code. */
	void
	break_watches(enum brf_errc code)
	{
		while (!watches.empty()) {
			struct brf_store_watch *watch = watches.front().watch;
			struct brf_error err = {};

			err.code = code;
			watches.pop_front();
			watch->ended(watch, &err);
		}
	}
};

#endif
