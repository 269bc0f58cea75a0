#ifndef BG_MESH_READER_H
#define BG_MESH_READER_H

/** @file
 * Reads the configuration at the platform: one watch on `config/`, the head
 * and the service objects that changed, as HEAD and SERVICE items.
 */

#include <event2/event.h>

#include "burdockgrade/platform.h"
#include "burdockgrade/table.h"

struct bg_reader;

struct bg_reader_options {
	struct event_base *base;
	struct bg_platform *platform;
	const struct bg_table *table;
	int is_whole; /**< read all service objects at each change */
	/** An item to be merged. */
	void (*item)(void *arg, const struct bg_item *item);
	/** A read of the head ended. @param code 0 or enum bg_code; version 0
	 * if there is no head yet */
	void (*head)(void *arg, int code, uint64_t version);
	void *arg;
};

int bg_reader_init(
    struct bg_reader **out, const struct bg_reader_options *opts);
/** Free after the platform, whose pending callbacks refer to the reader. */
void bg_reader_free(struct bg_reader *rdr);
/** Starts or stops following the configuration. */
void bg_reader_follow(struct bg_reader *rdr, int is_on);
/** Reads the head; a read under way is not counted, another follows it. */
void bg_reader_read_head(struct bg_reader *rdr);
/** 1 while a read of the head is under way. */
int bg_reader_is_reading(const struct bg_reader *rdr);

#endif
