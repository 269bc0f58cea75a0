#ifndef BURDOCKGRADE_ERROR_H
#define BURDOCKGRADE_ERROR_H

/** @file
 * Error codes and the error struct that is passed down the call chain.
 */

/** Codes returned by every fallible function; 0 is success. */
enum bg_error_code {
	BG_OK = 0,
	BG_EINVAL = -1,	      /**< input does not satisfy its contract */
	BG_ENOTFOUND = -2,    /**< object, key or server does not exist */
	BG_ECONFLICT = -3,    /**< a conditional update lost */
	BG_ETIMEOUT = -4,     /**< no answer within the time allowed */
	BG_EUNAVAILABLE = -5, /**< peer refused, is down or overloaded */
	BG_ELIMIT = -6,	      /**< a limit of this process was reached */
	BG_EPROTO = -7,	      /**< bytes from a peer do not decode */
	BG_ENOMEM = -8,	      /**< memory exhausted */
	BG_EIO = -9,	      /**< operating system error */
	BG_ESTALE = -10,      /**< older than what is already held */
	BG_ECANCELED = -11,   /**< canceled by the caller */
};

#define BG_ERROR_STEP_BYTES 48
#define BG_ERROR_PEER_BYTES 64
#define BG_ERROR_MESSAGE_BYTES 256

/** An error with the step and the peer at which it arose. */
struct bg_error {
	int code; /**< enum bg_code */
	char step[BG_ERROR_STEP_BYTES];
	char peer[BG_ERROR_PEER_BYTES]; /**< empty if no peer is involved */
	char message[BG_ERROR_MESSAGE_BYTES];
};

/**
 * Fills an error and returns its code.
 *
 * @param err may be NULL
 * @param peer may be NULL
 * @return code, so that callers can return the result
 */
int bg_error_set(struct bg_error *err, int code, const char *step,
    const char *peer, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/** Returns the symbolic name of a code, for logs. */
const char *bg_error_name(int code);

#endif
