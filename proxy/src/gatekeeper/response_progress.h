#ifndef BG_PROXY_RESPONSE_PROGRESS_H
#define BG_PROXY_RESPONSE_PROGRESS_H

/** Result of reading a response, or a part of one, from received bytes. */
enum bg_response_progress {
	BG_RESPONSE_INCOMPLETE, /**< more bytes are needed */
	BG_RESPONSE_COMPLETE,
	BG_RESPONSE_UNTIL_CLOSE, /**< all bytes so far were read; the body ends
				  with the connection */
	BG_RESPONSE_INVALID,	 /**< HTTP forbids its head or its framing */
	BG_RESPONSE_OVERSIZED,	 /**< above the limits, or out of memory */
};

#endif
