#ifndef PROTOCOL_JSON_FIELDS_H
#define PROTOCOL_JSON_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Reading of JSON objects with checks.
 *
 * A reader keeps the first error, which names the field. Later calls then do
 * nothing, so a parser needs to check for errors only once, at its end.
 * jf_end() rejects keys that no call has asked for.
 */

#define JF_ERROR_BYTES 256
#define JF_PATH_BYTES 128
#define JF_MAX_DEPTH 32
#define JF_MAX_KEYS 32

/**
 * struct jf_reader - reader of one object
 * @object: the object; borrowed
 * @path: its path in the document, for errors
 * @error: first error, or empty; JF_ERROR_BYTES long, shared with the readers
 *	of objects inside this one
 * @known: keys that were asked for, @known_count of them
 */
struct jf_reader {
	json_t *object;
	char path[JF_PATH_BYTES];
	char *error;
	const char *known[JF_MAX_KEYS];
	uint32_t known_count;
};

/**
 * jf_parse() - parse text that is nested at most JF_MAX_DEPTH levels deep
 * @text: JSON text
 * @bytes: size of @text
 * @error: reason on failure; JF_ERROR_BYTES long
 *
 * Return: value to be released with json_decref(), or NULL.
 */
json_t *jf_parse(const void *text, size_t bytes, char *error);

/** jf_begin() - start to read an object; empties @error */
void jf_begin(struct jf_reader *r, json_t *value, char *error);
/**
 * jf_child() - start to read an object inside another
 * @r: reader to initialize
 * @parent: reader of the outer object
 * @value: inner object
 * @name: field of the outer object
 * @index: position in that field's array, or -1 when it isn't an array
 */
void jf_child(struct jf_reader *r, const struct jf_reader *parent,
    json_t *value, const char *name, int index);
/** jf_failed() - whether there has been an error */
bool jf_failed(const struct jf_reader *r);
/** jf_fail() - record an error about a field, unless there is one already */
void jf_fail(struct jf_reader *r, const char *field, const char *reason);
/** jf_end() - reject unknown keys; false when there has been any error */
bool jf_end(struct jf_reader *r);

/** jf_string() - read a string; NULL when absent or invalid */
const char *jf_string(struct jf_reader *r, const char *field, bool required);
/** jf_is_name() - whether a text has 1 to 63 letters, digits, '.', '_' or '-' */
bool jf_is_name(const char *text);
/** jf_name() - like jf_string(); 1 to 63 letters, digits, '.', '_' or '-' */
const char *jf_name(struct jf_reader *r, const char *field, bool required);
/**
 * jf_integer() - read an integer within bounds
 * @r: reader
 * @field: field
 * @fallback: result when the field is absent or invalid
 * @min: lower bound
 * @max: upper bound
 */
int64_t jf_integer(struct jf_reader *r, const char *field, int64_t fallback,
    int64_t min, int64_t max);
/** jf_bool() - read a boolean; @fallback when absent or invalid */
bool jf_bool(struct jf_reader *r, const char *field, bool fallback);
/** jf_array() - read an array; NULL when absent or invalid; borrowed */
json_t *jf_array(struct jf_reader *r, const char *field, bool required);
/** jf_cpu_mcpu() - read a required number of cores; in thousandths */
int64_t jf_cpu_mcpu(struct jf_reader *r, const char *field);
/** jf_link_kbps() - read a required number of Mbit/s; in kbit/s */
int64_t jf_link_kbps(struct jf_reader *r, const char *field);
/** jf_memory_bytes() - read a required size such as "128GB" or "512MB" */
int64_t jf_memory_bytes(struct jf_reader *r, const char *field);
/**
 * jf_duration_us() - read a duration such as "250ms", "3s" or "5m"
 * @r: reader
 * @field: field
 * @fallback: result when the field is absent or invalid; -1 makes it required
 * @min: lower bound
 * @max: upper bound
 */
int64_t jf_duration_us(struct jf_reader *r, const char *field, int64_t fallback,
    int64_t min, int64_t max);
/** jf_address() - read an IPv4 address and port, "IP:PORT" */
const char *jf_address(struct jf_reader *r, const char *field, bool required);

#endif
