#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/error.h"
#include "burdockgrade/log.h"

#define LINE_BYTES 768
#define NAME_BYTES 64

static const struct {
	const char *name;
	int priority;
} LEVELS[] = {
    {"error", LOG4C_PRIORITY_ERROR},
    {"warn", LOG4C_PRIORITY_WARN},
    {"info", LOG4C_PRIORITY_INFO},
    {"debug", LOG4C_PRIORITY_DEBUG},
};

static char process_name[NAME_BYTES];
static int threshold = LOG4C_PRIORITY_INFO;

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *ev)
{
	static char line[LINE_BYTES];
	char when[BG_RFC3339_BYTES];
	uint64_t wall_ms = bg_clock_wall_ms();

	bg_clock_format(when, wall_ms);
	snprintf(line, sizeof(line), "%.19s.%03uZ %s %s %s %s\n", when,
	    (unsigned)(wall_ms % 1000), process_name,
	    log4c_priority_to_string(ev->evt_priority), ev->evt_category,
	    ev->evt_msg);
	return line;
}

static const log4c_layout_type_t layout_type = {"burdockgrade", format_line};

static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *ev)
{
	return fputs(ev->evt_rendered_msg, stderr) < 0;
}

/* log4c's own type "stream" puts its name before each line. */
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
	log4c_layout_t *layout;
	int error;

	if ((error = find_priority(&threshold, level)) != 0)
		return error;
	snprintf(process_name, sizeof(process_name), "%s", name);
	log4c_init();
	log4c_layout_type_set(&layout_type);
	layout = log4c_layout_get("burdockgrade");
	log4c_layout_set_type(layout, &layout_type);
	log4c_appender_type_set(&appender_type);
	appender = log4c_appender_get("burdockgrade");
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	return 0;
}

void
bg_log_free(void)
{
	log4c_fini();
}

void
bg_log(enum bg_log_level level, const char *part, const char *fmt, ...)
{
	log4c_category_t *category;
	va_list ap;
	int priority = LEVELS[level].priority;

	if (priority > threshold || process_name[0] == '\0')
		return;
	category = log4c_category_get(part);
	log4c_category_set_priority(category, threshold);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_appender(
	    category, log4c_appender_get("burdockgrade"));
	va_start(ap, fmt);
	log4c_category_vlog(category, priority, fmt, ap);
	va_end(ap);
}
