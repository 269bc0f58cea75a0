#ifndef BG_CONFIG_CONTRACT_LIMITS_H
#define BG_CONFIG_CONTRACT_LIMITS_H

/** @file
 * Valid ranges and formats of the fields of a contract. They are checked when
 * a questionnaire is read and again by every node that gets the contract.
 */

/** A longer call would hold a slot after the customer has given up. */
#define BG_DEADLINE_MAX_MS 600000
/** A larger number is taken for a typing error. The backend servers of both
 * users accept 110 to 120 connections. */
#define BG_SLOTS_MAX 10000
#define BG_CONNECTIONS_MAX 10000
/** A move needs at least one verdict period. */
#define BG_TAKE_OVER_MIN_MS 1000
#define BG_TAKE_OVER_MAX_MS (24 * 3600 * 1000)
#define BG_SOAK_MAX_MS (24 * 3600 * 1000)
/** A version that fails more than half of its calls is never acceptable. */
#define BG_MAX_ERROR_PERMILLE_MAX 500
#define BG_SLO_MIN_PERMYRIAD 5000
/** An objective of 100% has an error budget of 0, for which no burn rate can
 * be computed. */
#define BG_SLO_MAX_PERMYRIAD 9999
#define BG_SLO_WINDOW_MAX_DAYS 90

/**
 * Checks the name of a service or route: letters, digits, '-', '_' and '.',
 * starting with a letter or digit. Names are used in object keys and in lines
 * of the status text.
 *
 * @return 1 if the name is valid, else 0
 */
int bg_is_name(const char *text);
/**
 * Checks the path prefix of a route.
 *
 * @return NULL if the prefix is valid, else the text that follows "expected" in
 *     an error message
 */
const char *bg_prefix_check(const char *prefix);

#endif
