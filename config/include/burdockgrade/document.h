#ifndef BURDOCKGRADE_DOCUMENT_H
#define BURDOCKGRADE_DOCUMENT_H

/** @file
 * The configuration document: a head and the contracts of its services in one
 * JSON object. A node therefore reads a version either completely or not at
 * all.
 */

#include <jansson.h>

#include "burdockgrade/snapshot.h"

/**
 * Builds a document.
 *
 * @param contracts one for each service of the head, in the order of the head
 * @return a new reference, or NULL if a part cannot be converted to JSON or
 *     memory is exhausted
 */
json_t *bg_document_build(
    const struct bg_head *head, const struct bg_contract *contracts);
/**
 * Builds a document from a new head and the contracts of another document.
 *
 * @return a new reference, or NULL as bg_document_build()
 */
json_t *bg_document_with_head(const json_t *doc, const struct bg_head *head);

/**
 * Reads the head.
 *
 * @param out to be freed by bg_head_free(); empty on error
 * @return 0, BG_EPROTO or BG_ENOMEM, with the reason in err
 */
int bg_document_head(
    struct bg_head *out, const json_t *doc, struct bg_error *err);
/**
 * Reads the contracts of the services of a head, in the order of the head.
 *
 * @param out array to be freed by the caller; NULL on error
 * @return 0, BG_EPROTO or BG_ENOMEM, with the reason in err
 */
int bg_document_contracts(struct bg_contract **out, const json_t *doc,
    const struct bg_head *head, struct bg_error *err);
/**
 * Builds and validates the snapshot of a document.
 *
 * @param out to be released by bg_snapshot_release(); NULL on error
 * @param doc NULL gives BG_EPROTO
 * @return 0, BG_EPROTO if the document cannot be read, or an error of
 *     bg_snapshot_build()
 */
int bg_document_snapshot(
    struct bg_snapshot **out, const json_t *doc, struct bg_error *err);

#endif
