#include "adapters/http_body.h"
#include "adapters/http_collect.h"

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

enum { COLLECT_BYTES_MAX = 256 };

/* Reads the input as a request body, and collects it as two answer chunks. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct request *request = request_create(REQUEST_GENERATION);
	struct http_collect *collect =
		http_collect_create(false, COLLECT_BYTES_MAX);
	struct error error;
	GBytes *answer;

	g_bytes_unref(request->body);
	request->body = g_bytes_new(data, size);
	if (http_body_read(request, &error) &&
	    (!request->service || request->prompt_tokens < 1 ||
	     request->max_tokens < 0 || !request->prefix_hash))
		abort();
	http_collect_add(collect, request->body);
	http_collect_add(collect, request->body);
	answer = http_collect_finish(collect, 1, 2, "stop");
	g_bytes_unref(answer);
	http_collect_destroy(collect);
	request_unref(request);
	return 0;
}
