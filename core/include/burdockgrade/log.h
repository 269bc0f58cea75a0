#ifndef BURDOCKGRADE_LOG_H
#define BURDOCKGRADE_LOG_H

/** @file
 * Structured log on standard output, based on log4c, with one category per
 * component and `key=value` fields.
 *
 * Logging never blocks. Lines are queued, and dropped and counted if the queue
 * is full because its reader is too slow. Part of the queue is reserved for
 * warnings and errors. Other lines are also dropped above 1000 lines a second.
 * Consecutive lines with the same component and message are folded into one and
 * a count.
 */

struct event_base;

enum bg_log_level {
	BG_LOG_ERROR,
	BG_LOG_WARN,
	BG_LOG_INFO,
	BG_LOG_DEBUG,
};

/**
 * Initializes the log. Lines that are logged earlier are discarded.
 *
 * @param level lowest severity that is logged: "error", "warn", "info" or
 *     "debug"
 * @param name identifies the process in each line; not empty; copied
 * @return 0 or BG_EINVAL if the level is unknown
 */
int bg_log_init(const char *level, const char *name);
/** Detaches from the event loop and releases log4c. */
void bg_log_free(void);
/**
 * Writes lines in batches from an event loop. While no loop is attached, each
 * line is written as it is logged. Warnings and errors are always written as
 * they are logged.
 *
 * @return 0 or BG_ENOMEM
 */
int bg_log_attach(struct event_base *base);
/** Detaches from the event loop and writes the queued lines, as far as the
 * reader takes them without blocking. */
void bg_log_detach(void);
/** Sets the descriptor that is written to, instead of standard output. It
 * remains owned by the caller. */
void bg_log_set_descriptor(int fd);

/**
 * Logs one line.
 *
 * @param component name of the component, for example "mesh"
 * @param fmt format of the message; a line is truncated to 767 bytes
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
