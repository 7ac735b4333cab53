#include "codec/etcd_json.h"
#include "codec/etcd_watch.h"
#include "codec/vm_list_json.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

enum { MAX_BYTES = 64 * 1024 };

/*
 * Parses the input as the answer to each kind of key-value request, as a watch
 * message and as a VM list.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *body = g_bytes_new(data, size);
	struct etcd_watch_message message;
	struct kv_request request = {0};
	struct kv_answer answer;
	struct error error;
	GArray *vms;

	for (int op = KV_GET; op <= KV_LEASE_REVOKE; op++) {
		request.op = (enum kv_op)op;
		if (etcd_json_parse_answer(&request, body, MAX_BYTES, &answer,
					   &error))
			kv_answer_clear(&answer);
	}
	if (etcd_watch_message_parse(body, MAX_BYTES, &message, &error))
		etcd_watch_message_clear(&message);
	vms = vm_list_json_parse(body, MAX_BYTES, &error);
	if (vms)
		g_array_unref(vms);
	g_bytes_unref(body);
	return 0;
}
