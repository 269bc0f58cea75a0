/* Messages between nodes: ONC RPC program BG_MESH. tools/rpcgen.sh regenerates
 * the code, which is committed. */

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

/* SYNC: anti-entropy between two nodes. Configurations are compared by version,
 * and the newer one is sent to the other side. Tables are compared by their
 * root digest. If the roots differ, the reply carries the digests of all
 * buckets; the caller then repeats the call with its own digests and its items
 * of the differing buckets, and the reply carries the callee's items of these.
 *
 * In both directions, items is an encoded bg_xitems, compressed with zstd if
 * raw_bytes, its size before compression, is not 0. items_digest is the xxh64
 * of items as sent; without it, an item with a corrupted byte could win every
 * merge. A push (is_push is not 0) only sends items; its reply carries none. If
 * is_push is 2, nodes may not read the items from the store soon, and the
 * receiver forwards what is new to it. */
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

/* CONFIG: a node asks one that reads the store exactly for the newest
 * configuration. The reply has the document if it is wanted and newer than the
 * caller's version; items, raw_bytes and items_digest are as for SYNC. */
struct bg_xconfig_args {
	unsigned hyper config_version; /* in force at the caller; 0: none */
	unsigned int is_document_wanted;
};

struct bg_xconfig_res {
	unsigned hyper config_version; /* in force; 0: none */
	unsigned int age_ms; /* since the store confirmed that it is the
			      * newest */
	unsigned int raw_bytes;
	unsigned hyper items_digest;
	opaque items<BG_BODY_BYTES>;
};

struct bg_xheader {
	string name<256>;
	string value<16384>;
};

/* Whether a call ran at a backend server. */
enum bg_xoutcome {
	BG_XOUTCOME_DONE = 0,	 /* the whole response was received */
	BG_XOUTCOME_NOT_RUN = 1, /* no backend server has run the call */
	BG_XOUTCOME_UNKNOWN = 2, /* a backend server may have run the call */
	BG_XOUTCOME_CONTINUE = 3 /* interim: the gatekeeper takes the next piece
				  * of the body */
};

/* Why a call was not run. */
enum bg_xrefusal {
	BG_XREFUSAL_NONE = 0,
	BG_XREFUSAL_BUSY = 1,	     /* no slot is free within wait_ms */
	BG_XREFUSAL_NO_SERVER = 2,   /* no backend server is available */
	BG_XREFUSAL_DRAINING = 3,    /* the backend server or its node leaves */
	BG_XREFUSAL_VERSION = 4,     /* the backend server has another version,
				      * or its version is suspended */
	BG_XREFUSAL_DEADLINE = 5,    /* the deadline cannot be met */
	BG_XREFUSAL_SHED = 6,	     /* the backend server refused the call */
	BG_XREFUSAL_BUFFERS = 7,     /* the buffers of the node are full */
	BG_XREFUSAL_UNSYNCED = 8,    /* the node has no configuration yet */
	BG_XREFUSAL_DEPTH = 9,	     /* the call chain is too deep */
	BG_XREFUSAL_UNREACHABLE = 10 /* no gatekeeper can be reached */
};

/* What nodes of earlier builds neither send nor expect in a CALL. */
struct bg_xcall_extension {
	bg_xname organisation; /* of the caller; empty: none */
	unsigned int cost_us;  /* expected own time at a usual backend server;
				* 0: unknown */
};

/* What nodes of earlier builds neither send nor expect in the reply to a CALL.
 */
struct bg_xload_extension {
	unsigned int work_left_us; /* of running and queued calls, at the
				    * server's present speed */
	unsigned int slowness_permille; /* time that work takes at present, of
					 * the usual; 0: unknown */
	unsigned int slowness_age_ms;	/* since the server reported it */
	unsigned int cold_left_ms; /* until the server is warm; 0: it is */
	unsigned int cold_starts_milli_per_s; /* rate it bears until then */
	unsigned int cold_starts_left; /* calls that may start now */
};

/* What nodes of earlier builds neither send nor expect in the reply to a STATE.
 */
struct bg_xstate_extension {
	unsigned int running_calls; /* at the backend server of the node */
};

/* The extensions end their messages and are absent in those of earlier builds:
 * wire_optional.c. */
#ifdef RPC_HDR
%typedef struct bg_xcall_extension bg_xoptional_call_extension;
%typedef struct bg_xload_extension bg_xoptional_load_extension;
%typedef struct bg_xstate_extension bg_xoptional_state_extension;
%bool_t xdr_bg_xoptional_call_extension(
%    XDR *xdrs, bg_xoptional_call_extension *out);
%bool_t xdr_bg_xoptional_load_extension(
%    XDR *xdrs, bg_xoptional_load_extension *out);
%bool_t xdr_bg_xoptional_state_extension(
%    XDR *xdrs, bg_xoptional_state_extension *out);
#endif

/* CALL: an ingress asks a gatekeeper to run a request. deadline_ms, target_ms
 * and wait_ms are remaining times at the moment the message is sent.
 *
 * A large body is not part of the CALL; body_bytes gives its size. The
 * gatekeeper replies with BG_XOUTCOME_CONTINUE as soon as its own link has room
 * for the next piece, and the ingress sends that piece with BODY. The reply to
 * the last BODY is that of the call. */
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
	unsigned int body_bytes; /* of a body that follows; 0: none does */
	unsigned int deadline_ms;
	unsigned int target_ms; /* within it a response has full value; 0: none;
				 * 1 if it has passed */
	unsigned int age_ms;	/* since the caller first sent the request */
	unsigned int wait_ms;	/* longest wait for a slot */
	unsigned int slow_ms;	/* if usual_us is 0: own time from which a
				 * response counts as slow; 0: never */
	unsigned int usual_us;	/* mean service time at backend servers of other
				 * versions; 0: unknown */
	unsigned int priority;	/* 0 is served first */
	unsigned int is_dependency; /* a running request waits for this call */
	unsigned int idempotent;
	unsigned int depth;
	unsigned int attempt;
	unsigned int is_repeat; /* another backend server received the call
				 * before, or a call that was repeated made
				 * it */
	unsigned hyper config_version;
	bg_xoptional_call_extension extension;
};

struct bg_xbody_args {
	unsigned hyper call_id; /* of the reply that asked for the piece */
	opaque piece<BG_BODY_BYTES>;
};

/* Load of a backend server, as its gatekeeper measures it. */
struct bg_xload {
	unsigned int running;
	unsigned int queued;
	unsigned int slots;
	unsigned int wait_us;	 /* expected wait at the end of the queue */
	unsigned int service_us; /* expected service time of the route's calls;
				  * 0: unknown */
	unsigned int bad_permille; /* share of failures in recent responses */
	unsigned int intake_wait_us; /* expected time until the gatekeeper takes
				      * the first piece of a body */
	unsigned int intake_bytes_per_ms; /* rate at which it receives bodies */
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
	unsigned int own_time_us; /* service time without its own calls */
	unsigned int dependency_failed; /* 1 if one of its own calls failed */
	bg_xname server_version;
	bg_xname server_id;
	unsigned hyper call_id;	   /* BG_XOUTCOME_CONTINUE only */
	unsigned int piece_bytes; /* BG_XOUTCOME_CONTINUE: largest next piece */
	bg_xoptional_load_extension load_extension;
};

struct bg_xcancel_args {
	unsigned int xid;
};

/* STATE: configuration versions of a node. */
struct bg_xstate_res {
	unsigned hyper held_version;	/* version in force; 0: none */
	unsigned hyper refused_version; /* latest version that failed validation
					 * since held_version came into force;
					 * 0: none or unknown */
	string refused_reason<128>;
	bg_xoptional_state_extension extension;
};

const BG_QUOTA_ENTRIES_MAX = 64;

/* QUOTA: a node asks the owner of a slot for calls that it may admit, for
 * several organisations at once. */
struct bg_xquota_ask {
	bg_xname organisation;
	unsigned int held;    /* tokens of earlier grants that are unused */
	unsigned int waiting; /* calls that wait for a token */
	unsigned int spare;   /* tokens wanted for calls to come */
};

struct bg_xquota_args {
	unsigned int share;	/* the slot: share of the caps, and */
	unsigned int group;	/* group of organisations */
	unsigned hyper holder;	/* random, new with each start of the node */
	unsigned hyper tenure;	/* of the owner that granted the held tokens */
	unsigned hyper seq;	/* rises with each ask of the holder */
	bg_xquota_ask asks<BG_QUOTA_ENTRIES_MAX>;
};

struct bg_xquota_grant {
	unsigned int kept;	/* of the held tokens, may be used on */
	unsigned int granted;	/* new tokens, first for the waiting calls */
	unsigned int valid_ms;	/* use of the tokens, since the ask was sent */
	unsigned int retry_after_ms; /* if less than waits was granted */
};

struct bg_xquota_res {
	unsigned int is_owner;
	unsigned hyper tenure; /* of the owner */
	bg_xaddress owner; /* if it is another node and known, else empty */
	bg_xquota_grant grants<BG_QUOTA_ENTRIES_MAX>; /* in the order of asks */
};

program BG_MESH {
	version BG_MESH_V3 {
		void BG_PROC_PING(void) = 0;
		bg_xsync_res BG_PROC_SYNC(bg_xsync_args) = 1;
		bg_xcall_res BG_PROC_CALL(bg_xcall_args) = 2;
		void BG_PROC_CANCEL(bg_xcancel_args) = 3;
		bg_xstate_res BG_PROC_STATE(void) = 4;
		bg_xcall_res BG_PROC_BODY(bg_xbody_args) = 5;
		bg_xconfig_res BG_PROC_CONFIG(bg_xconfig_args) = 6;
		bg_xquota_res BG_PROC_QUOTA(bg_xquota_args) = 7;
	} = 3;
} = 0x2f0b0d67;
