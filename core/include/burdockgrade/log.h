#ifndef BURDOCKGRADE_LOG_H
#define BURDOCKGRADE_LOG_H

/** @file
 * Structured log on standard output, based on log4c, with one category per
 * component. Callers write the `key=value` fields of a line into its message.
 *
 * Logging never blocks. Lines of all levels pass through one queue, from which
 * they are written as far as the output accepts them without blocking. If the
 * process that reads the output is too slow, the queue fills up and new lines
 * are dropped. A quarter of the queue is reserved for warnings and errors.
 * Lines of level info and debug are also dropped above 1000 lines a second;
 * warnings and errors count towards this limit but are exempt from it. The
 * metric burdock_log_dropped_total counts the dropped lines. Once the queue is
 * empty again, the component "log" also logs their number as a warning,
 * "dropped lines=N".
 *
 * A line whose component and formatted message equal those of the line before
 * is counted and not written, even if the levels differ. The count is logged as
 * "repeated count=N", at level info, before the next different line, when the
 * event loop next writes a batch, or by bg_log_detach().
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
 * Attaches an event loop, which writes the queue in batches: 20 ms after the
 * first line of a batch, or 100 ms after a write that the output did not accept
 * in full. A warning or error does not wait for the batch: when it is logged,
 * the queue is written up to and including it, since the process may be about
 * to exit. While no loop is attached, this holds for lines of all levels.
 *
 * @return 0 or BG_ENOMEM
 */
int bg_log_attach(struct event_base *base);
/** Detaches from the event loop and writes the queued lines, as far as the
 * output accepts them without blocking. The rest stays queued until the next
 * line is logged, and is lost if the process exits before. */
void bg_log_detach(void);
/** Sets the descriptor that is written to, instead of standard output. It
 * remains owned by the caller. A pipe need not be non-blocking: it is polled
 * before each write of at most PIPE_BUF bytes, which it accepts without
 * blocking if it polls as writable. */
void bg_log_set_descriptor(int fd);

/**
 * Logs one line.
 *
 * @param component name of the component, for example "mesh"
 * @param fmt format of the message with its `key=value` fields. The line, with
 *     prefix and newline, is truncated to 767 bytes: its buffer has 768, one of
 *     them for the terminating NUL.
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
