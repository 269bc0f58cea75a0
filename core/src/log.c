#include <event2/event.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/error.h"
#include "burdockgrade/log.h"

#include "log_queue.h"

#define LINE_BYTES 768
#define NAME_BYTES 64
/* Interval at which queued lines are written. Warnings and errors are written
 * at once, since the process may be about to exit. */
#define FLUSH_MS 20
/* Delay before the next write if the reader is too slow. */
#define RETRY_MS 100

static const struct {
	const char *name;
	int priority;
} LEVELS[] = {
    {"error", LOG4C_PRIORITY_ERROR},
    {"warn", LOG4C_PRIORITY_WARN},
    {"info", LOG4C_PRIORITY_INFO},
    {"debug", LOG4C_PRIORITY_DEBUG},
};

static struct bg_counter lines_total =
    BG_COUNTER("burdock_log_lines_total", "Log lines.");
static struct bg_counter dropped_total = BG_COUNTER("burdock_log_dropped_total",
    "Log lines that their reader was too slow for, or above the rate.");
static struct bg_counter folded_total = BG_COUNTER(
    "burdock_log_folded_total", "Log lines that repeated the one before.");

static struct {
	char process_name[NAME_BYTES];
	int threshold;
	int fd;
	struct bg_log_queue queue;
	struct event *timer; /* NULL: lines are written at once */
	uint64_t last_hash;  /* of the component and message of the last line */
	uint32_t repeats;    /* of the last line, not yet logged */
	char last_component[NAME_BYTES];
} logger = {.threshold = LOG4C_PRIORITY_INFO, .fd = STDOUT_FILENO};

static void
queue_line(int priority, const char *component, const char *message)
{
	char line[LINE_BYTES];
	char timestamp[BG_RFC3339_BYTES];
	uint64_t wall_ms = bg_clock_wall_ms();
	int bytes;

	bg_clock_format(timestamp, wall_ms);
	bytes = snprintf(line, sizeof(line), "%.19s.%03uZ %s %s %s %s",
	    timestamp, (unsigned)(wall_ms % 1000), logger.process_name,
	    log4c_priority_to_string(priority), component, message);
	if (bytes > LINE_BYTES - 2)
		bytes = LINE_BYTES - 2;
	line[bytes++] = '\n';
	bg_counter_add(&lines_total, 1);
	if (bg_log_queue_push(&logger.queue, line, (size_t)bytes,
		priority <= LOG4C_PRIORITY_WARN, bg_clock_now_ms()) != 0)
		bg_counter_add(&dropped_total, 1);
}

static void
log_repeats(void)
{
	char message[NAME_BYTES];

	if (logger.repeats == 0)
		return;
	snprintf(message, sizeof(message), "repeated count=%u", logger.repeats);
	logger.repeats = 0;
	queue_line(LOG4C_PRIORITY_INFO, logger.last_component, message);
}

/* @param ms less than a second */
static void
schedule_flush(uint32_t ms)
{
	struct timeval tv = {0, (suseconds_t)ms * 1000};

	if (!event_pending(logger.timer, EV_TIMEOUT, NULL))
		event_add(logger.timer, &tv);
}

static void
flush_queue(void)
{
	uint64_t dropped_lines;
	char message[NAME_BYTES];

	if (bg_log_queue_flush(&logger.queue, logger.fd) > 0) {
		if (logger.timer != NULL)
			schedule_flush(RETRY_MS);
		return;
	}
	if ((dropped_lines = bg_log_queue_take_dropped(&logger.queue)) == 0)
		return;
	snprintf(message, sizeof(message), "dropped lines=%llu",
	    (unsigned long long)dropped_lines);
	queue_line(LOG4C_PRIORITY_WARN, "log", message);
	bg_log_queue_flush(&logger.queue, logger.fd);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	log_repeats();
	flush_queue();
}

/* Append callback of log4c; evt_msg is the formatted message. */
static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *ev)
{
	uint64_t hash = XXH64(ev->evt_msg, strlen(ev->evt_msg),
	    XXH64(ev->evt_category, strlen(ev->evt_category), 0));

	if (hash == logger.last_hash) {
		logger.repeats++;
		bg_counter_add(&folded_total, 1);
	} else {
		log_repeats();
		queue_line(ev->evt_priority, ev->evt_category, ev->evt_msg);
		logger.last_hash = hash;
		snprintf(logger.last_component, sizeof(logger.last_component),
		    "%s", ev->evt_category);
	}
	if (logger.timer == NULL || ev->evt_priority <= LOG4C_PRIORITY_WARN)
		flush_queue();
	else
		schedule_flush(FLUSH_MS);
	return 0;
}

/* The appender type "stream" of log4c prefixes each line with the name of the
 * appender. */
static const log4c_appender_type_t appender_type = {
    "burdockgrade", NULL, append_line, NULL};

static int
find_priority(int *out, const char *level)
{
	size_t i;

	for (i = 0; i < sizeof(LEVELS) / sizeof(LEVELS[0]); i++) {
		if (strcmp(LEVELS[i].name, level) == 0) {
			*out = LEVELS[i].priority;
			return 0;
		}
	}
	return BG_EINVAL;
}

int
bg_log_init(const char *level, const char *name)
{
	log4c_appender_t *appender;
	int error;

	if ((error = find_priority(&logger.threshold, level)) != 0)
		return error;
	snprintf(logger.process_name, sizeof(logger.process_name), "%s", name);
	log4c_init();
	log4c_appender_type_set(&appender_type);
	appender = log4c_appender_get("burdockgrade");
	log4c_appender_set_type(appender, &appender_type);
	return 0;
}

int
bg_log_attach(struct event_base *base)
{
	logger.timer = evtimer_new(base, on_timer, NULL);
	return logger.timer == NULL ? BG_ENOMEM : 0;
}

void
bg_log_detach(void)
{
	if (logger.timer != NULL)
		event_free(logger.timer);
	logger.timer = NULL;
	log_repeats();
	flush_queue();
}

void
bg_log_set_descriptor(int fd)
{
	logger.fd = fd;
}

void
bg_log_free(void)
{
	bg_log_detach();
	log4c_fini();
}

/* Accepts every priority, since bg_log() has applied the threshold already. */
static void
configure_category(log4c_category_t *category)
{
	log4c_category_set_priority(category, LOG4C_PRIORITY_TRACE);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_appender(
	    category, log4c_appender_get("burdockgrade"));
}

void
bg_log(enum bg_log_level level, const char *component, const char *fmt, ...)
{
	log4c_category_t *category;
	va_list ap;
	int priority = LEVELS[level].priority;

	if (priority > logger.threshold || logger.process_name[0] == '\0')
		return;
	category = log4c_category_get(component);
	if (log4c_category_get_appender(category) == NULL)
		configure_category(category);
	va_start(ap, fmt);
	log4c_category_vlog(category, priority, fmt, ap);
	va_end(ap);
}
