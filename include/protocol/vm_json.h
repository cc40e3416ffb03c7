#ifndef PROTOCOL_VM_JSON_H
#define PROTOCOL_VM_JSON_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/** enum vj_role - what runs on a VM */
enum vj_role {
	VJ_DAEMON,
	VJ_WORKER,
	VJ_ENDPOINT,
};

/**
 * struct vj_vm - an entry of the platform's VM list
 * @id: VM id
 * @domain: failure domain
 * @address: "IP:PORT", or NULL when the list has none
 * @role: what runs on it
 * @leaving: the platform is about to remove it
 */
struct vj_vm {
	char *id;
	char *domain;
	char *address;
	enum vj_role role;
	bool leaving;
};

/** struct vj_vm_list - the platform's VM list */
struct vj_vm_list {
	struct vj_vm *vm;
	uint32_t count;
};

/**
 * vj_parse() - parse the platform's VM list
 * @ctx: talloc parent of the result
 * @body: JSON text
 * @body_bytes: size of @body
 * @error: reason on failure; JF_ERROR_BYTES long
 *
 * Return: list, or NULL when it is invalid.
 */
struct vj_vm_list *vj_parse(
    TALLOC_CTX *ctx, const char *body, size_t body_bytes, char *error);

#endif
