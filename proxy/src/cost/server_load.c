#include <stddef.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "server_load.h"

#define FIGURES_MIN 3
#define FIGURES_MAX 4
/* A larger figure is no count and no percentage of a server that works. */
#define FIGURE_MAX 100000
/* Slowness outside of these bounds is taken as the bound. */
#define SLOWNESS_MIN_PERMILLE 100
#define SLOWNESS_MAX_PERMILLE 50000
#define PERMILLE_PER_PERCENT 10

static const char *
skip_blanks(const char *text)
{
	return text + strspn(text, " \t");
}

/* Reads one figure and the blanks around it. @return NULL if there is none */
static const char *
parse_figure(uint32_t *out, const char *text)
{
	text = skip_blanks(text);
	if (*text < '0' || *text > '9')
		return NULL;
	for (*out = 0; *text >= '0' && *text <= '9'; text++) {
		*out = *out * 10 + (uint32_t)(*text - '0');
		if (*out > FIGURE_MAX)
			return NULL;
	}
	return skip_blanks(text);
}

static uint32_t
slowness_permille(uint32_t percent)
{
	uint32_t permille = percent * PERMILLE_PER_PERCENT;

	if (permille < SLOWNESS_MIN_PERMILLE)
		return SLOWNESS_MIN_PERMILLE;
	return permille > SLOWNESS_MAX_PERMILLE ? SLOWNESS_MAX_PERMILLE
						: permille;
}

int
bg_server_load_parse(struct bg_server_load *out, const char *text)
{
	uint32_t figures[FIGURES_MAX];
	size_t n = 0;

	memset(out, 0, sizeof(*out));
	for (;;) {
		if (n == FIGURES_MAX ||
		    (text = parse_figure(&figures[n], text)) == NULL)
			return BG_EINVAL;
		n++;
		if (*text != ',')
			break;
		text++;
	}
	if (*text != '\0' || n < FIGURES_MIN)
		return BG_EINVAL;
	out->running = figures[0];
	out->waiting = figures[1];
	out->slots = figures[2];
	if (n == FIGURES_MAX)
		out->slowness_permille = slowness_permille(figures[3]);
	return 0;
}
