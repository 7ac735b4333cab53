#include "codec/vm_list_json.h"

#include "core/json/json_reader.h"

#include <string.h>

enum { MAX_ADDRESS_BYTES = 128 };

static void vm_clear(gpointer data)
{
	struct vm *vm = data;

	g_free((char *)vm->address);
}

static bool read_vm(GArray *vms, JsonNode *node, guint i, struct error *error)
{
	struct json_fields fields;
	const char *state;
	struct vm vm;

	if (!json_fields_begin(&fields, node, "vm_list.parse", error,
			       "vms[%u].", i))
		return false;
	vm.address =
		json_fields_string(&fields, "address", 1, MAX_ADDRESS_BYTES);
	state = json_fields_string(&fields, "state", 1, 16);
	vm.leaving = strcmp(state, "leaving") == 0;
	if (!vm.leaving && strcmp(state, "live") != 0)
		json_fields_fail(&fields, "state", "\"live\" or \"leaving\"");
	if (fields.failed)
		return false;
	vm.address = g_strdup(vm.address);
	g_array_append_val(vms, vm);
	return true;
}

/*
 * Parses the platform's list of VMs. Returns an array of struct vm that owns
 * the addresses and that the caller owns, or NULL with ERROR_INVALID or
 * ERROR_TOO_LARGE. One invalid entry fails the whole list, since the VMs
 * missing from a partial list would appear to be gone. Unknown members are
 * ignored.
 */
GArray *vm_list_json_parse(GBytes *body, size_t max_bytes, struct error *error)
{
	JsonNode *root =
		json_reader_parse(body, max_bytes, "vm_list.parse", error);
	GArray *vms = g_array_new(FALSE, FALSE, sizeof(struct vm));
	struct json_fields fields;
	JsonArray *array = NULL;
	bool ok = root && json_fields_begin(&fields, root, "vm_list.parse",
					    error, "%s", "");

	g_array_set_clear_func(vms, vm_clear);
	if (ok) {
		array = json_fields_array(&fields, "vms");
		if (!array)
			json_fields_fail(&fields, "vms", "an array");
		ok = !fields.failed;
	}
	for (guint i = 0; ok && i < json_array_get_length(array); i++)
		ok = read_vm(vms, json_array_get_element(array, i), i, error);
	g_clear_pointer(&root, json_node_unref);
	if (!ok)
		g_clear_pointer(&vms, g_array_unref);
	return vms;
}
