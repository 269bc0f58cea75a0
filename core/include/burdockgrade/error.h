#ifndef BURDOCKGRADE_ERROR_H
#define BURDOCKGRADE_ERROR_H

/** @file
 * Error codes, and the error struct that a caller passes down to learn what
 * failed and where.
 */

/** Return codes of functions that can fail; 0 is success. */
enum bg_error_code {
	BG_OK = 0,
	BG_EINVAL = -1,	      /**< invalid input */
	BG_ENOTFOUND = -2,    /**< object, key or server not found */
	BG_ECONFLICT = -3,    /**< conditional update failed */
	BG_ETIMEOUT = -4,     /**< no response within the time limit */
	BG_EUNAVAILABLE = -5, /**< peer is down, overloaded or refused */
	BG_ELIMIT = -6,	      /**< limit of this process exceeded */
	BG_EPROTO = -7,	      /**< malformed data from a peer */
	BG_ENOMEM = -8,	      /**< out of memory */
	BG_EIO = -9,	      /**< operating system error */
	BG_ESTALE = -10,      /**< older than the version already held */
	BG_ECANCELED = -11,   /**< canceled by the caller */
	BG_EAGAIN = -12,      /**< to be repeated by the caller */
};

#define BG_ERROR_STEP_BYTES 48
#define BG_ERROR_PEER_BYTES 64
#define BG_ERROR_MESSAGE_BYTES 256

/** An error with the operation that failed and the peer it failed at. */
struct bg_error {
	int code;			/**< enum bg_error_code */
	char step[BG_ERROR_STEP_BYTES]; /**< operation, such as "listen" */
	char peer[BG_ERROR_PEER_BYTES]; /**< empty if no peer is involved */
	char message[BG_ERROR_MESSAGE_BYTES];
};

/**
 * Fills an error. Texts that are too long are truncated.
 *
 * @param err may be NULL
 * @param step the operation that failed
 * @param peer may be NULL
 * @param fmt format of the message
 * @return code, for use in a return statement
 */
int bg_error_set(struct bg_error *err, int code, const char *step,
    const char *peer, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/** Name of a code for logs, such as "not-found"; "unknown" if there is no such
 * code. Statically allocated. */
const char *bg_error_name(int code);

#endif
