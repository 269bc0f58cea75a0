#include <stdlib.h>

#include "deadline.h"

uint32_t
bg_deadline_first_ms(uint32_t route_ms, uint32_t caller_ms)
{
	return caller_ms != 0 && caller_ms < route_ms ? caller_ms : route_ms;
}

uint32_t
bg_deadline_left_ms(uint64_t deadline_us, uint64_t now_us)
{
	if (now_us >= deadline_us)
		return 0;
	return (uint32_t)((deadline_us - now_us) / 1000);
}

uint32_t
bg_header_u32(const char *text, uint32_t absent)
{
	unsigned long value;
	char *end;

	if (text == NULL || *text < '0' || *text > '9')
		return absent;
	value = strtoul(text, &end, 10);
	return *end != '\0' || value > UINT32_MAX ? absent : (uint32_t)value;
}

int
bg_connection_is_fresh(uint64_t silence_ms, int is_idempotent)
{
	return is_idempotent || silence_ms <= BG_FRESH_MS;
}
