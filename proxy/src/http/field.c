#include <string.h>

#include "burdockgrade/error.h"

#include "field.h"
#include "syntax.h"

int
bg_http_field_can_begin(const char *text, size_t bytes)
{
	const char *colon = memchr(text, ':', bytes);
	size_t name_bytes = colon == NULL ? bytes : (size_t)(colon - text);

	if (bytes == 0)
		return 1;
	return bg_http_is_token(text, name_bytes) &&
	    bg_http_is_value(text + name_bytes, bytes - name_bytes);
}

int
bg_http_field_parse(struct bg_http_field *out, const char *text, size_t bytes)
{
	const char *colon = memchr(text, ':', bytes);
	const char *end = text + bytes;
	const char *value;

	if (colon == NULL || !bg_http_field_can_begin(text, bytes))
		return BG_EPROTO;
	value = colon + 1;
	while (value < end && bg_http_is_blank(*value))
		value++;
	while (end > value && bg_http_is_blank(end[-1]))
		end--;
	out->name = text;
	out->name_bytes = (size_t)(colon - text);
	out->value = value;
	out->value_bytes = (size_t)(end - value);
	return 0;
}
