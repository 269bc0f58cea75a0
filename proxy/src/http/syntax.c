#include <ctype.h>
#include <string.h>

#include "syntax.h"

#define DELETE 0x7f

int
bg_http_is_token(const char *s, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i++) {
		if (!isalnum((unsigned char)s[i]) &&
		    (s[i] == '\0' || strchr("!#$%&'*+-.^_`|~", s[i]) == NULL))
			return 0;
	}
	return bytes > 0;
}

int
bg_http_is_value(const char *s, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i++) {
		if (((unsigned char)s[i] < ' ' && s[i] != '\t') ||
		    s[i] == DELETE)
			return 0;
	}
	return 1;
}
