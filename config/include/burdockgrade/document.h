#ifndef BURDOCKGRADE_DOCUMENT_H
#define BURDOCKGRADE_DOCUMENT_H

/** @file
 * The configuration document: the head and the contracts it names in one
 * object, so that a node reads a version as a whole or not at all.
 */

#include <jansson.h>

#include "burdockgrade/snapshot.h"

/**
 * Builds the document of a head.
 *
 * @param contracts one for each service of the head, in its order
 * @return a new reference, or NULL if out of memory or not encodable
 */
json_t *bg_document_build(
    const struct bg_head *head, const struct bg_contract *contracts);
/** Builds the document of a head whose contracts are those of another
 * document. @return a new reference, or NULL */
json_t *bg_document_with_head(const json_t *doc, const struct bg_head *head);

/** Reads the head. @return 0, BG_EPROTO or BG_ENOMEM with the reason in err */
int bg_document_head(
    struct bg_head *out, const json_t *doc, struct bg_error *err);
/** Reads the contracts of a head's services, in their order.
 * @param out free() it */
int bg_document_contracts(struct bg_contract **out, const json_t *doc,
    const struct bg_head *head, struct bg_error *err);
/** Builds and validates the snapshot, as bg_snapshot_build. */
int bg_document_snapshot(
    struct bg_snapshot **out, const json_t *doc, struct bg_error *err);

#endif
