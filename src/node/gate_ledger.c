#include "node/gate_impl.h"

#define LEDGER_ATTEMPTS 131072u
#define LEDGER_TOKENS 65536u
#define LEDGER_ANSWER_BYTES (16u * 1024 * 1024)

struct brf_ledger *
brf_gate_ledger_new(struct brf_timers *timers)
{
	struct brf_ledger_config config = { .attempts = LEDGER_ATTEMPTS,
		.tokens = LEDGER_TOKENS,
		.answer_bytes = LEDGER_ANSWER_BYTES };

	return (brf_ledger_new(brf_timers_clock(timers), &config));
}

void
brf_gate_ledger_end(struct brf_gate_attempt *ga, struct brf_reply *reply)
{
	struct brf_ledger *ledger = ga->gate->ledger;

	if (!ga->in_ledger)
		return;
	if (reply->outcome != BRF_NOT_RUN)
		brf_ledger_done(ledger, ga->id.id, reply->answer);
	else if (!brf_ledger_refuse(ledger, ga->id.id, reply->reason))
		reply->outcome = BRF_UNKNOWN;
}

/* Parses the token and checks it; on false, @reply is filled. */
static bool
check_token(struct brf_gate *gate, const struct brf_attempt *at,
    struct brf_token *token, struct brf_reply *reply)
{
	struct brf_token_scope scope = { .service = at->service,
		.workspace = at->workspace };
	enum brf_token_verdict verdict;

	verdict =
	    brf_token_parse(gate->config.token_key, at->token, &scope, token);
	if (verdict == BRF_TOKEN_VALID)
		verdict = brf_token_check(token, gate->config.self,
		    gate->config.incarnation,
		    brf_now(brf_timers_clock(gate->config.timers)));
	if (verdict == BRF_TOKEN_VALID)
		return (true);
	brf_token_refusal(verdict, reply);
	return (false);
}

bool
brf_gate_ledger_begin(struct brf_gate_attempt *ga, struct brf_reply *reply)
{
	const struct brf_attempt *at = &ga->x->attempt;
	struct brf_ledger_request request = { .attempt = at->id,
		.timeout_us = at->timeout_us };
	struct brf_token token;

	if (ga->rule->idempotent)
		return (true);
	if (at->token[0] != '\0') {
		if (!check_token(ga->gate, at, &token, reply))
			return (false);
		request.token = &token;
		request.checksum = brf_message_checksum(at->request);
	}
	ga->in_ledger = brf_ledger_begin(ga->gate->ledger, &request, reply);
	return (ga->in_ledger);
}

/* The token names this gate, since only the gate that minted a token can check
 * that it has not expired. */
void
brf_gate_mint_token(struct brf_gate *gate, struct brf_exchange *x)
{
	struct brf_token_scope scope = { .service = x->attempt.service,
		.workspace = x->attempt.workspace };
	struct brf_reply reply = { .outcome = BRF_ANSWERED,
		.retries = x->attempt.retries };
	char text[BRF_TOKEN_SIZE];

	brf_token_mint(gate->config.token_key, gate->config.self,
	    gate->config.incarnation, &scope,
	    brf_now(brf_timers_clock(gate->config.timers)), gate->config.random,
	    text);
	reply.answer = brf_message_new();
	reply.answer->status = 201;
	brf_message_add_header(
	    reply.answer, "content-type", 12, "text/plain", 10, NULL);
	brf_buf_puts(&reply.answer->body, text);
	x->done(x, &reply);
	brf_message_unref(reply.answer);
}

bool
brf_gate_is_token_request(const struct brf_message *m)
{
	return (strcmp(m->path, BRF_TOKEN_PATH) == 0 &&
		strcmp(m->method, "POST") == 0);
}
