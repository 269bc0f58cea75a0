#include "mesh/floor.h"

void
bg_floor_own_read(struct bg_floor *flr, uint64_t version)
{
	if (!flr->is_known || version > flr->version)
		flr->version = version;
	flr->is_known = 1;
}

int
bg_floor_answered(struct bg_floor *flr, const struct bg_floor_answer *answer)
{
	if (!answer->was_asked || answer->wire == BG_FLOOR_WIRE_NONE)
		return 0;
	if (!answer->is_leased || answer->remaining_ms == 0 ||
	    answer->term < answer->highest_term)
		return 0;
	bg_floor_own_read(flr, answer->wire - 1);
	return 1;
}

int
bg_floor_allows(const struct bg_floor *flr, uint64_t version)
{
	return flr->is_known && version >= flr->version;
}

uint64_t
bg_floor_request(struct bg_floor_reads *rds)
{
	return ++rds->requested;
}

int
bg_floor_read_is_due(const struct bg_floor_reads *rds)
{
	return !rds->is_reading && rds->requested > rds->settled;
}

void
bg_floor_read_started(struct bg_floor_reads *rds)
{
	rds->is_reading = 1;
	rds->started = rds->requested;
}

void
bg_floor_read_done(struct bg_floor_reads *rds, int is_good, uint64_t version)
{
	rds->is_reading = 0;
	if (!is_good)
		return;
	rds->settled = rds->started;
	rds->version = version;
}

uint64_t
bg_floor_reply(const struct bg_floor_reads *rds, uint64_t request, int is_valid)
{
	if (!is_valid || request == 0 || request > rds->settled)
		return BG_FLOOR_WIRE_NONE;
	return rds->version + 1;
}
