#ifndef PROTOCOL_CONFIG_JSON_H
#define PROTOCOL_CONFIG_JSON_H

#include "coordination/config.h"

/**
 * cj_parse() - a cf_parse_fn for the JSON documents of docs/API.md
 *
 * Checks types, ranges, unknown keys and references; names the field.
 */
bool cj_parse(struct cf_config *c, enum cf_area area, const uint8_t *body,
    size_t body_bytes, char *error);

#endif
