/*
 * Protocol between nodes: ONC RPC version 2 (RFC 5531) over TCP with record
 * marking.  Only the node that opened a connection sends calls on it; the other
 * one sends replies.
 *
 * Every variable length has a bound here, which limits what a decoder
 * allocates.  Text has the type opaque, whose encoding is that of string: the
 * decoded value keeps its length, so that a NUL inside can be rejected.
 */

const BRF_XDR_NAME = 63;
const BRF_XDR_TOKEN = 191;
const BRF_XDR_PATH = 2048;
const BRF_XDR_METHOD = 15;
const BRF_XDR_FIELD = 16384;
const BRF_XDR_FIELDS = 64;
const BRF_XDR_BODY = 1048576;
const BRF_XDR_MAC = 32;
const BRF_XDR_NONCE = 16;

struct brf_xdr_id {
	unsigned hyper hi;
	unsigned hyper lo;
};

struct brf_xdr_header {
	opaque name<BRF_XDR_FIELD>;
	opaque value<BRF_XDR_FIELD>;
};

struct brf_xdr_message {
	opaque method<BRF_XDR_METHOD>;
	opaque path<BRF_XDR_PATH>;
	unsigned int status;
	brf_xdr_header headers<BRF_XDR_FIELDS>;
	opaque body<BRF_XDR_BODY>;
	unsigned hyper checksum;	/* brf_message_checksum() */
};

struct brf_xdr_attempt {
	brf_xdr_id root;
	brf_xdr_id id;
	unsigned hyper timeout_us;
	unsigned int depth;
	unsigned int cls;
	unsigned int retries;
	bool resend;
	opaque service<BRF_XDR_NAME>;
	opaque workspace<BRF_XDR_NAME>;
	opaque token<BRF_XDR_TOKEN>;
	brf_xdr_message request;
};

struct brf_xdr_level {
	unsigned int cut;
	unsigned int in_flight;
	unsigned int waiting;
	unsigned int limit;
};

struct brf_xdr_reply {
	/* The attempt's id; a reply with another id is rejected. */
	brf_xdr_id id;
	unsigned int outcome;
	unsigned int reason;
	unsigned int retry_after_ms;
	unsigned int retries;
	brf_xdr_level *level;
	unsigned hyper useful_us;
	unsigned hyper wasted_us;
	brf_xdr_message *answer;
};

/* Proof of the fleet key; handshake.h defines what the MAC covers. */
struct brf_xdr_hello {
	brf_xdr_id node;
	unsigned hyper incarnation;
	opaque nonce[BRF_XDR_NONCE];
};

struct brf_xdr_challenge {
	brf_xdr_id node;
	unsigned hyper incarnation;
	opaque nonce[BRF_XDR_NONCE];
	opaque mac[BRF_XDR_MAC];
};

struct brf_xdr_proof {
	opaque mac[BRF_XDR_MAC];
};

/* A document as the store holds it; see config/docs.h. */
struct brf_xdr_document {
	opaque service<BRF_XDR_NAME>;
	unsigned hyper revision;
	opaque text<BRF_XDR_BODY>;
};

struct brf_xdr_revision {
	opaque service<BRF_XDR_NAME>;
	unsigned hyper revision;
};

struct brf_xdr_revisions {
	brf_xdr_revision known<1024>;
};

struct brf_xdr_documents {
	brf_xdr_document newer<64>;
};

program BRF_PEER_PROGRAM {
	version BRF_PEER_VERSION {
		void BRF_PEER_NULL(void) = 0;
		brf_xdr_challenge BRF_PEER_HELLO(brf_xdr_hello) = 1;
		void BRF_PEER_PROVE(brf_xdr_proof) = 2;
		brf_xdr_reply BRF_PEER_CALL(brf_xdr_attempt) = 3;
		/* Always succeeds; the reply to the call has its outcome. */
		void BRF_PEER_CANCEL(brf_xdr_id) = 4;
		/* Sends the caller's revisions, returns newer documents. */
		brf_xdr_documents BRF_PEER_DOCUMENTS(brf_xdr_revisions) = 5;
	} = 1;
} = 0x20b1d001;
