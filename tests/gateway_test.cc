#include "adapters/gateway/gateway_state.h"
#include "core/gateway/route_table.h"
#include "platform/platform.h"

#include <gtest/gtest.h>

/* A gateway without listeners, peers and a running loop. */
class Gateway : public testing::Test
{
      protected:
	struct log *log = log_create("test", LOG_LEVEL_ERROR);
	struct counters counters = {};
	struct gateway *gateway = nullptr;

	Gateway()
	{
		struct gateway_options options = {};
		struct gateway_host host = {};
		struct error error;

		options.node_name = "n1";
		options.failure_domain = "a";
		options.address = "";
		options.ready_address = "";
		options.directory_address = "";
		options.max_connections = 1;
		options.retry_window_us = G_USEC_PER_SEC;
		options.log = log;
		options.counters = &counters;
		options.dialect = &platform_dialect;
		gateway = gateway_create(&options, &host, &error);
	}

	~Gateway() override
	{
		gateway_destroy(gateway);
		log_destroy(log);
	}

	int64_t version_after(int64_t revision)
	{
		struct config *config = config_create();
		GBytes *document = g_bytes_new(nullptr, 0);
		struct route_table *table;

		config->revision = revision;
		table = route_table_create(config);
		gateway_take_table(gateway, table, document, "store");
		route_table_unref(table);
		config_unref(config);
		g_bytes_unref(document);
		return gateway_table_version(gateway);
	}
};

/*
 * A caller's new key works, and then an answer of the store that was late, or
 * a peer that lags, brings the configuration from before it. The key must go
 * on working.
 */
TEST_F(Gateway, NeverGoesBackToAnOlderConfiguration)
{
	EXPECT_EQ(-1, gateway_table_version(gateway));
	EXPECT_EQ(5, version_after(5));
	EXPECT_EQ(5, version_after(4));
	EXPECT_EQ(5, version_after(0));
	EXPECT_EQ(6, version_after(6));
	EXPECT_EQ(6, version_after(5));
}
