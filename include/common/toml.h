#ifndef COMMON_TOML_H
#define COMMON_TOML_H

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

#define TOML_ERROR_BYTES 256

/**
 * struct toml_doc - a parsed TOML file
 * @root: the tables and values as a JSON object
 * @lines: object from dotted path ("peer.listen", "worker[2].cpu") to line
 */
struct toml_doc {
	json_t *root;
	json_t *lines;
};

/**
 * toml_read_file() - parse a TOML file
 * @path: file name
 * @doc: result; release with toml_free()
 * @error: on failure, "FILE:LINE: reason"; TOML_ERROR_BYTES long
 *
 * Return: 0 or -1.
 */
int toml_read_file(const char *path, struct toml_doc *doc, char *error);

/**
 * toml_free() - release a parsed file
 * @doc: document
 */
void toml_free(struct toml_doc *doc);

#ifdef __cplusplus
}
#endif

#endif
