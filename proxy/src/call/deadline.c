#include <stdlib.h>

#include "deadline.h"

uint32_t
bg_deadline_effective_ms(uint32_t route_ms, uint32_t caller_ms)
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
bg_header_u32(const char *text, uint32_t default_value)
{
	unsigned long value;
	char *end;

	if (text == NULL || *text < '0' || *text > '9')
		return default_value;
	value = strtoul(text, &end, 10);
	return *end != '\0' || value > UINT32_MAX ? default_value
						  : (uint32_t)value;
}

int
bg_connection_is_reusable(uint64_t idle_ms, int is_idempotent)
{
	return is_idempotent || idle_ms <= BG_CONNECTION_IDLE_MAX_MS;
}
