#include "core/datagram/datagram_link.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void transmit(void *data, const char *address, GBytes *packet)
{
	(void)data;
	(void)address;
	(void)packet;
}

static void deliver(void *data, const char *address, const uint8_t *record,
		    size_t record_bytes)
{
	(void)address;
	if (!record || record_bytes == 0)
		abort();
	++*(int *)data;
}

static void hand_back(void *data, const char *address, GBytes *record)
{
	(void)data;
	(void)address;
	(void)record;
}

/* A packet delivers at most one record, and a confirmed one only once. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct counters counters = {0};
	int delivered = 0;
	const struct datagram_link_options options = {
		.session = 1,
		.counters = &counters,
		.data = &delivered,
		.transmit = transmit,
		.deliver = deliver,
		.hand_back = hand_back,
	};
	struct datagram_link *link = datagram_link_create(&options);
	GBytes *record = g_bytes_new_static("record", 6);

	datagram_link_send(link, "10.0.0.1:1", record, true, 0);
	datagram_link_receive(link, "10.0.0.1:1", data, size, 1);
	datagram_link_receive(link, "10.0.0.1:1", data, size, 2);
	if (delivered > 2 || (delivered == 2 && data[4] != 2))
		abort();
	datagram_link_step(link, G_USEC_PER_SEC);
	g_bytes_unref(record);
	datagram_link_destroy(link);
	return 0;
}
