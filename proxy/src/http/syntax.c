#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "syntax.h"

#define DELETE 0x7f
#define LIST_SEPARATORS " \t,"

int
bg_http_is_blank(char c)
{
	return c == ' ' || c == '\t';
}

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

int
bg_http_list_has(const char *list, const char *item)
{
	size_t bytes;

	for (list += strspn(list, LIST_SEPARATORS); *list != '\0';
	     list += strspn(list, LIST_SEPARATORS)) {
		bytes = strcspn(list, LIST_SEPARATORS);
		if (bytes == strlen(item) &&
		    strncasecmp(list, item, bytes) == 0)
			return 1;
		list += bytes;
	}
	return 0;
}
