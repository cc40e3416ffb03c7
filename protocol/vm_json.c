#include <string.h>

#include "protocol/json_fields.h"
#include "protocol/vm_json.h"

static void
vj_read_vm(struct jf_reader *r, TALLOC_CTX *ctx, struct vj_vm *vm)
{
	static const char *const roles[] = {"daemon", "worker", "endpoint"};
	const char *text;
	int i;

	vm->id = talloc_strdup(ctx, jf_name(r, "vm", true));
	vm->domain = talloc_strdup(ctx, jf_name(r, "domain", true));
	vm->address = talloc_strdup(ctx, jf_address(r, "address", false));
	text = jf_string(r, "role", true);
	for (i = 0; text != NULL && i < 3; i++) {
		if (strcmp(text, roles[i]) == 0)
			break;
	}
	if (i == 3)
		jf_fail(r, "role", "must be daemon, worker or endpoint");
	vm->role = (enum vj_role)i;
	text = jf_string(r, "state", true);
	if (text != NULL && strcmp(text, "live") != 0 &&
	    strcmp(text, "leaving") != 0)
		jf_fail(r, "state", "must be live or leaving");
	vm->leaving = text != NULL && strcmp(text, "leaving") == 0;
}

struct vj_vm_list *
vj_parse(TALLOC_CTX *ctx, const char *body, size_t body_bytes, char *error)
{
	struct vj_vm_list *list;
	struct jf_reader r;
	json_t *value;
	json_t *rows;
	size_t i;

	value = jf_parse(body, body_bytes, error);
	if (value == NULL)
		return NULL;
	list = talloc_zero(ctx, struct vj_vm_list);
	jf_begin(&r, value, error);
	rows = jf_array(&r, "vms", true);
	list->count = (uint32_t)json_array_size(rows);
	list->vm = talloc_zero_array(list, struct vj_vm, list->count + 1);
	for (i = 0; i < list->count && !jf_failed(&r); i++) {
		struct jf_reader child;

		jf_child(&child, &r, json_array_get(rows, i), "vms", (int)i);
		vj_read_vm(&child, list, &list->vm[i]);
	}
	if (jf_failed(&r))
		TALLOC_FREE(list);
	json_decref(value);
	return list;
}
