#include "burdockgrade/store.h"

int
bg_store_read(struct bg_store *store, const struct bg_store_query *query,
    bg_store_fn fn, void *arg)
{
	return store->read(store, query, fn, arg);
}

int
bg_store_write(struct bg_store *store, const struct bg_store_change *change,
    bg_store_fn fn, void *arg)
{
	return store->write(store, change, fn, arg);
}

void
bg_store_free(struct bg_store *store)
{
	if (store != NULL)
		store->free(store);
}
