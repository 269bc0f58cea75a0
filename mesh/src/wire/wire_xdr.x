/* Messages between nodes: ONC RPC program BG_MESH. Regenerate with
 * tools/rpcgen.sh; the generated code is committed. */

const BG_NAME_BYTES = 64;
const BG_ADDRESS_BYTES = 64;
const BG_KEY_BYTES = 192;
const BG_BODY_BYTES = 1048576;
const BG_ITEMS_MAX = 8192;
const BG_HEADERS_MAX = 128;
const BG_DIGEST_BUCKETS = 64;

typedef string bg_xname<BG_NAME_BYTES>;
typedef string bg_xaddress<BG_ADDRESS_BYTES>;
typedef string bg_xkey<BG_KEY_BYTES>;

/* One item of the replicated table. */
struct bg_xitem {
	unsigned int kind;
	bg_xkey key;
	unsigned hyper major;
	unsigned hyper minor;
	opaque value<BG_BODY_BYTES>;
};

struct bg_xitems {
	bg_xitem items<BG_ITEMS_MAX>;
};

/* SYNC. The configuration is compared by its version and is sent to the side
 * with the older one. Both sides compare digests of their tables. With differing roots the
 * answer carries the digests of all buckets, upon which the caller repeats the
 * call with its own digests and the items of the buckets that differ. The items
 * of both directions are an encoded bg_xitems, compressed by zstd if raw_bytes
 * is not 0. items_digest is the xxh64 of the bytes sent: an item with a changed
 * byte could win every merge. A push carries items only and is answered without
 * any. */
struct bg_xsync_args {
	bg_xaddress address;
	unsigned hyper root;
	unsigned hyper config_version;
	unsigned hyper digests<BG_DIGEST_BUCKETS>;
	unsigned int is_push;
	unsigned int raw_bytes;
	unsigned hyper items_digest;
	opaque items<BG_BODY_BYTES>;
};

struct bg_xsync_res {
	unsigned hyper config_version;
	unsigned hyper digests<BG_DIGEST_BUCKETS>;
	unsigned int raw_bytes;
	unsigned hyper items_digest;
	opaque items<BG_BODY_BYTES>;
};

struct bg_xheader {
	string name<256>;
	string value<16384>;
};

/* What is known of a call's fate. */
enum bg_xoutcome {
	BG_XOUTCOME_DONE = 0,
	BG_XOUTCOME_NOT_RUN = 1,
	BG_XOUTCOME_UNKNOWN = 2
};

/* Why a call was not run. */
enum bg_xrefusal {
	BG_XREFUSAL_NONE = 0,
	BG_XREFUSAL_BUSY = 1,	    /* no slot in the time that is left */
	BG_XREFUSAL_NO_SERVER = 2,  /* no backend server is ready here */
	BG_XREFUSAL_DRAINING = 3,   /* server or node is leaving */
	BG_XREFUSAL_VERSION = 4,    /* the server has another version */
	BG_XREFUSAL_DEADLINE = 5,
	BG_XREFUSAL_SHED = 6,	    /* the server itself refused */
	BG_XREFUSAL_BUFFERS = 7,
	BG_XREFUSAL_UNSYNCED = 8,    /* no configuration is known yet */
	BG_XREFUSAL_DEPTH = 9,	     /* too many calls in a chain */
	BG_XREFUSAL_UNREACHABLE = 10 /* no gatekeeper could be reached */
};

/* CALL: an ingress asks a gatekeeper to run a request. Times are what is left
 * when the message is sent. */
struct bg_xcall_args {
	string request_id<128>;
	bg_xname service;
	bg_xname route;
	bg_xname server_version; /* empty: any */
	bg_xname caller_service;
	string method<16>;
	string host<256>;
	string path<16384>;
	bg_xheader headers<BG_HEADERS_MAX>;
	opaque body<BG_BODY_BYTES>;
	unsigned int deadline_ms;
	unsigned int target_ms;	/* an answer within it is worth most; 0: none */
	unsigned int age_ms;	/* since the caller first sent the request */
	unsigned int wait_ms;	/* longest wait for a slot */
	unsigned int slow_ms;	/* own time from which an answer counts as slow */
	unsigned int usual_us;	/* average time at other versions; 0: unknown */
	unsigned int priority;	/* 0 is served first */
	unsigned int is_dependency; /* a running request waits for it */
	unsigned int idempotent;
	unsigned int depth;
	unsigned int attempt;
	unsigned hyper config_version;
};

/* State of a backend server, as its gatekeeper knows it. */
struct bg_xload {
	unsigned int running;
	unsigned int queued;
	unsigned int slots;
	unsigned int wait_us;	 /* of a call that would be queued last */
	unsigned int service_us; /* average time of a call of this route */
	unsigned int bad_permille; /* share of answers that were failures */
};

struct bg_xcall_res {
	bg_xoutcome outcome;
	bg_xrefusal refusal;
	unsigned int http_status;
	bg_xheader headers<BG_HEADERS_MAX>;
	opaque body<BG_BODY_BYTES>;
	string reason<128>;
	unsigned int retry_after_ms;
	bg_xload load;
	unsigned int own_time_us;
	unsigned int dependency_failed;
	bg_xname server_version;
	bg_xname server_id;
};

struct bg_xcancel_args {
	unsigned int xid;
};

/* STATE: what a node holds. */
struct bg_xstate_res {
	unsigned hyper held_version;	/* in force; 0: none */
	unsigned hyper refused_version; /* newest that did not validate, or 0 */
	string refused_reason<128>;
};

program BG_MESH {
	version BG_MESH_V2 {
		void BG_PROC_PING(void) = 0;
		bg_xsync_res BG_PROC_SYNC(bg_xsync_args) = 1;
		bg_xcall_res BG_PROC_CALL(bg_xcall_args) = 2;
		void BG_PROC_CANCEL(bg_xcancel_args) = 3;
		bg_xstate_res BG_PROC_STATE(void) = 4;
	} = 2;
} = 0x2f0b0d67;
