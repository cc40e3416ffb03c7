#ifndef PROTOCOL_CONFIG_JSON_H
#define PROTOCOL_CONFIG_JSON_H

#include "coordination/config.h"

/**
 * cj_parse() - parse a JSON document of docs/API.md; a cf_parse_fn
 *
 * Rejects wrong types, values out of range, unknown keys and ids that are used
 * twice. @error then names the field.
 */
bool cj_parse(struct cf_config *c, enum cf_area area, const uint8_t *body,
    size_t body_bytes, char *error);

#endif
