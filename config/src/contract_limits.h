#ifndef BG_CONFIG_CONTRACT_LIMITS_H
#define BG_CONFIG_CONTRACT_LIMITS_H

/** @file
 * Ranges of the answers of a questionnaire, checked when the questionnaire is
 * read and again by each node.
 */

/** A call that runs longer holds a slot for no customer. */
#define BG_DEADLINE_MAX_MS 600000
/** More is a typing error; the servers of both users take 110 to 120. */
#define BG_SLOTS_MAX 10000
#define BG_CONNECTIONS_MAX 10000
/** A move needs at least one verdict period. */
#define BG_TAKE_OVER_MIN_MS 1000
#define BG_TAKE_OVER_MAX_MS (24 * 3600 * 1000)
#define BG_SOAK_MAX_MS (24 * 3600 * 1000)
/** With more than half of the calls failing no version is acceptable. */
#define BG_MAX_ERROR_PERMILLE_MAX 500
/** An objective of 100% leaves no error budget to compute with. */
#define BG_SLO_MIN_PERMYRIAD 5000
#define BG_SLO_MAX_PERMYRIAD 9999
#define BG_SLO_WINDOW_MAX_DAYS 90

/** 1 if text is a service, route or version name: letters, digits, '-', '_'
 * and '.', beginning with a letter or digit. Names are parts of object keys
 * and of status lines. */
int bg_is_name(const char *text);
/** @return what is wrong with a route prefix, or NULL */
const char *bg_prefix_check(const char *prefix);

#endif
