#ifndef PROTOCOL_JSON_FIELDS_H
#define PROTOCOL_JSON_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Checked reading of JSON objects.
 *
 * A reader collects the first error, naming the field; later calls then do
 * nothing, so a parser checks once at its end. Keys that no call has asked
 * for are refused by jf_end().
 */

#define JF_ERROR_BYTES 256
#define JF_PATH_BYTES 128
#define JF_MAX_DEPTH 32
#define JF_MAX_KEYS 32

/**
 * struct jf_reader - reads one object
 * @object: the object
 * @path: its path, for errors
 * @error: first error, or empty; JF_ERROR_BYTES, shared by child readers
 * @known: keys that were asked for
 */
struct jf_reader {
	json_t *object;
	char path[JF_PATH_BYTES];
	char *error;
	const char *known[JF_MAX_KEYS];
	uint32_t known_count;
};

/**
 * jf_parse() - parse text within the limits of size and depth
 * @text: JSON text
 * @bytes: its size
 * @error: reason on failure; JF_ERROR_BYTES long
 *
 * Return: value to be released with json_decref(), or NULL.
 */
json_t *jf_parse(const void *text, size_t bytes, char *error);

/** jf_begin() - read an object; @error is emptied */
void jf_begin(struct jf_reader *r, json_t *value, char *error);
/** jf_child() - read an object inside another */
void jf_child(struct jf_reader *r, const struct jf_reader *parent,
    json_t *value, const char *name, int index);
/** jf_failed() - whether an error was noted */
bool jf_failed(const struct jf_reader *r);
/** jf_fail() - note an error about a field */
void jf_fail(struct jf_reader *r, const char *field, const char *reason);
/** jf_end() - refuse unknown keys; false when anything was wrong */
bool jf_end(struct jf_reader *r);

/** jf_string() - a string; NULL when absent and not required */
const char *jf_string(struct jf_reader *r, const char *field, bool required);
/** jf_name() - like jf_string(), of 1 to 63 letters, digits, ". _ -" */
const char *jf_name(struct jf_reader *r, const char *field, bool required);
/** jf_integer() - an integer within bounds */
int64_t jf_integer(struct jf_reader *r, const char *field, int64_t fallback,
    int64_t least, int64_t most);
/** jf_bool() - a boolean */
bool jf_bool(struct jf_reader *r, const char *field, bool fallback);
/** jf_array() - an array, or NULL when absent and not required */
json_t *jf_array(struct jf_reader *r, const char *field, bool required);
/** jf_cpu_mcpu() - cores as a number, in thousandths */
int64_t jf_cpu_mcpu(struct jf_reader *r, const char *field);
/** jf_memory_bytes() - a size such as "128GB" or "512MB" */
int64_t jf_memory_bytes(struct jf_reader *r, const char *field);
/**
 * jf_duration_us() - a time such as "250ms", "3s" or "5m"
 * @r: reader
 * @field: field
 * @fallback: value when absent; -1 makes it required
 * @least: lower bound
 * @most: upper bound
 */
int64_t jf_duration_us(struct jf_reader *r, const char *field, int64_t fallback,
    int64_t least, int64_t most);
/** jf_address() - "IP:PORT" */
const char *jf_address(struct jf_reader *r, const char *field, bool required);

#endif
