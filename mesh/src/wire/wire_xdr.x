/* Messages between nodes: ONC RPC program BG_MESH. Regenerate with
 * tools/rpcgen.sh; the generated code is committed. */

const BG_NAME_BYTES = 64;
const BG_ADDRESS_BYTES = 64;
const BG_KEY_BYTES = 192;
const BG_BODY_BYTES = 1048576;
const BG_ITEMS_MAX = 8192;
const BG_HEADERS_MAX = 64;
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

/* SYNC. The items of both directions are an encoded bg_xitems, compressed by
 * zstd if raw_bytes is not 0. items_digest is the xxh64 of the bytes sent: an
 * item with a changed byte could win every merge. floor_version is the version
 * plus one; 0 says nothing. A lease_object_version of 0 is a root without
 * lease. */
struct bg_xsync_args {
	bg_xaddress address;
	unsigned hyper incarnation;
	bg_xname data_centre;
	unsigned int role;
	unsigned hyper cursor_incarnation;
	unsigned hyper cursor;
	unsigned hyper digests<BG_DIGEST_BUCKETS>;
	unsigned int want_floor;
	unsigned int wait_ms;
	unsigned int raw_bytes;
	unsigned hyper items_digest;
	opaque items<BG_BODY_BYTES>;
};

enum bg_xsync_status {
	BG_XSYNC_OK = 0,
	BG_XSYNC_REDIRECT = 1,
	BG_XSYNC_BUSY = 2,
	BG_XSYNC_STALE_INCARNATION = 3
};

struct bg_xsync_res {
	bg_xsync_status status;
	bg_xaddress redirect;
	unsigned int retry_ms;
	unsigned hyper known_incarnation;
	bg_xaddress address;
	unsigned hyper incarnation;
	unsigned hyper cursor;
	unsigned hyper digests<BG_DIGEST_BUCKETS>;
	bg_xaddress lease_holder;
	unsigned hyper lease_term;
	unsigned hyper lease_object_version;
	unsigned int lease_remaining_ms;
	unsigned hyper floor_version;
	unsigned int raw_bytes;
	unsigned hyper items_digest;
	opaque items<BG_BODY_BYTES>;
};

struct bg_xheader {
	string name<256>;
	string value<4096>;
};

/* What is known of a call's fate. */
enum bg_xoutcome {
	BG_XOUTCOME_DONE = 0,
	BG_XOUTCOME_NOT_RUN = 1,
	BG_XOUTCOME_UNKNOWN = 2
};

/* CALL: an ingress asks a gatekeeper to run a request. */
struct bg_xcall_args {
	string request_id<128>;
	bg_xname service;
	bg_xname route;
	bg_xname server_version;
	string method<16>;
	string path<4096>;
	bg_xheader headers<BG_HEADERS_MAX>;
	opaque body<BG_BODY_BYTES>;
	unsigned int deadline_ms;
	unsigned int slow_ms;
	unsigned int criticality;
	unsigned int idempotent;
	unsigned int depth;
	unsigned int attempt;
	unsigned hyper grant;
	unsigned hyper config_version;
};

struct bg_xcall_res {
	bg_xoutcome outcome;
	unsigned int http_status;
	bg_xheader headers<BG_HEADERS_MAX>;
	opaque body<BG_BODY_BYTES>;
	string reason<128>;
	unsigned int retry_after_ms;
	unsigned int running;
	unsigned int queued;
	unsigned int slots;
	unsigned int own_time_us;
	unsigned int dependency_failed;
	bg_xname server_version;
};

struct bg_xcancel_args {
	unsigned int xid;
};

/* Record groups: at-most-once records. */
struct bg_xbegin_args {
	bg_xname data_centre;
	unsigned int group;
	unsigned hyper epoch;
	bg_xkey key;
	unsigned hyper request_digest;
	unsigned int wait_ms;
};

enum bg_xbegin_status {
	BG_XBEGIN_GRANTED = 0,
	BG_XBEGIN_DONE = 1,
	BG_XBEGIN_RUNNING = 2,
	BG_XBEGIN_UNKNOWN = 3,
	BG_XBEGIN_NOT_RUN = 4,
	BG_XBEGIN_MISMATCH = 5
};

struct bg_xanswer {
	unsigned int http_status;
	bg_xheader headers<BG_HEADERS_MAX>;
	opaque body<16384>;
};

struct bg_xbegin_res {
	bg_xbegin_status status;
	unsigned hyper epoch;
	unsigned hyper grant;
	unsigned int retry_after_ms;
	bg_xanswer *answer;
};

struct bg_xfinish_args {
	bg_xname data_centre;
	unsigned int group;
	bg_xkey key;
	unsigned hyper grant;
	bg_xoutcome outcome;
	bg_xanswer *answer;
};

struct bg_xfinish_res {
	unsigned int accepted;
	unsigned hyper epoch;
};

/* One record as it is copied between the members of a group. */
struct bg_xrecord {
	bg_xkey key;
	unsigned hyper fingerprint;
	unsigned hyper request_digest;
	unsigned hyper grant;
	unsigned int state;
	unsigned hyper age_ms;
	bg_xanswer *answer;
};

/* COPY: records from the holder to a member; also used to fill a member that
 * joins (complete is set on the last batch). */
struct bg_xcopy_args {
	bg_xname data_centre;
	unsigned int group;
	unsigned hyper epoch;
	bg_xaddress holder;
	bg_xrecord records<1024>;
	unsigned int complete;
};

struct bg_xcopy_res {
	unsigned int accepted;
	unsigned hyper epoch;
};

program BG_MESH {
	version BG_MESH_V1 {
		void BG_PROC_PING(void) = 0;
		bg_xsync_res BG_PROC_SYNC(bg_xsync_args) = 1;
		bg_xcall_res BG_PROC_CALL(bg_xcall_args) = 2;
		void BG_PROC_CANCEL(bg_xcancel_args) = 3;
		bg_xbegin_res BG_PROC_BEGIN(bg_xbegin_args) = 4;
		bg_xfinish_res BG_PROC_FINISH(bg_xfinish_args) = 5;
		bg_xcopy_res BG_PROC_COPY(bg_xcopy_args) = 6;
	} = 1;
} = 0x2f0b0d67;
