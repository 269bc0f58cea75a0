#ifndef BURDOCKGRADE_LOG_H
#define BURDOCKGRADE_LOG_H

/** @file
 * Structured logs by log4c on standard output: one category a part,
 * `key=value` fields. Logging never waits for the reader: lines that it is too
 * slow for are dropped and counted, those about failures last. A line that
 * repeats the one before it is folded into a count.
 */

struct event_base;

enum bg_log_level {
	BG_LOG_ERROR,
	BG_LOG_WARN,
	BG_LOG_INFO,
	BG_LOG_DEBUG,
};

/**
 * Opens the log.
 *
 * @param level "error", "warn", "info" or "debug"
 * @param name identifies the process in each line; copied
 * @return 0 or BG_EINVAL for an unknown level
 */
int bg_log_init(const char *level, const char *name);
void bg_log_free(void);
/**
 * Writes lines together from a loop; without one each is written at once.
 *
 * @return 0 or BG_ENOMEM
 */
int bg_log_attach(struct event_base *base);
/** Writes what is queued and leaves the loop. */
void bg_log_detach(void);
/** Writes to another descriptor than standard output; it stays the caller's. */
void bg_log_set_descriptor(int fd);

/**
 * Writes one line.
 *
 * @param part the fixed prefix of the part, for example "relay"
 */
void bg_log(enum bg_log_level level, const char *component, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));

#define bg_log_error(component, ...) \
	bg_log(BG_LOG_ERROR, component, __VA_ARGS__)
#define bg_log_warn(component, ...) bg_log(BG_LOG_WARN, component, __VA_ARGS__)
#define bg_log_info(component, ...) bg_log(BG_LOG_INFO, component, __VA_ARGS__)
#define bg_log_debug(component, ...) \
	bg_log(BG_LOG_DEBUG, component, __VA_ARGS__)

#endif
